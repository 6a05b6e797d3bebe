// Guards against taking a response without a length for complete although its connection was reset.
import assert from 'node:assert/strict';
import {afterEach, beforeEach, test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {CallKind} from '@bayspool/decisions/calls';
import {exchangeRaw} from '../testing/exchange_raw.js';
import {GatewayFixture} from '../testing/gateway_fixture.js';
import {plainHeaderNames as names} from '../testing/plain_header_names.js';
import {ScriptedRunner} from '../testing/scripted_runner.js';

type Script = ScriptedRunner['script'];

/** Calls of a test: whether a reset is reported depends on when it is read. */
const CALLS = 20;
const ALL_EVENTS = 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n';
/** More events of this size than the buffers to a caller that does not read hold, less than those of both connections. */
const LARGE_EVENT = `data: ${'x'.repeat(100_000)}\n\n`;
const EVENTS = 60;
/** Time for which a caller does not read after the reset, in ms. */
const PAUSE_MS = 300;
const FIRST_EVENT = 'id: 1\ndata: a\n\n';

let fixture: GatewayFixture;
let resetting: ScriptedRunner;
let sound: ScriptedRunner;

beforeEach(() => {
  fixture = new GatewayFixture();
  resetting = new ScriptedRunner({id: 'resetting'});
  sound = new ScriptedRunner({id: 'sound'});
});

afterEach(() => fixture.stop());

function serve(
  kind: CallKind,
  runners: readonly ScriptedRunner[],
): Promise<void> {
  return fixture.serve({kind}, runners, {retryRatio: 5});
}

function writeHead(id: string, status = 200): string {
  return `HTTP/1.1 ${status} Any\r\n${names.requestId}: ${id}\r\n${names.signature}: s\r\n\r\n`;
}

/** Sends a head without a length and these bytes, and resets the connection right behind them. */
function resetBehind(bytes: string, status?: number): Script {
  return ({id, socket}) =>
    socket.write(writeHead(id, status) + bytes, () => socket.resetAndDestroy());
}

/** Sends a head without a length and these bytes, and ends the connection in the ordinary way. */
function endBehind(bytes: string): Script {
  return ({id, socket}) => socket.end(writeHead(id) + bytes);
}

void test('a part of a response that is reset is no response to a call that may run only once', async () => {
  await serve(CallKind.UNSAFE, [resetting]);
  resetting.script = resetBehind('up to');
  for (let i = 0; i < CALLS; i++)
    assert.equal((await fixture.call()).status, 502);
});

void test('a call whose response is reset is answered by another runner if it may run again', async () => {
  await serve(CallKind.SAFE, [resetting, sound]);
  resetting.script = resetBehind('up to');
  sound.script = endBehind('up to here');
  for (let i = 0; i < CALLS; i++) {
    const {status, body} = await fixture.call();
    assert.deepEqual({status, body}, {status: 200, body: 'up to here'});
  }
  assert.ok(resetting.received.length > 0);
});

void test('a part of a failure response that is reset does not reach its caller', async () => {
  await serve(CallKind.UNSAFE, [resetting]);
  resetting.script = resetBehind('fail', 500);
  const {status, body} = await fixture.call();
  assert.equal(status, 502);
  assert.notEqual(body, 'fail');
});

void test('a stream that is reset behind an event does not end as complete', async () => {
  await serve(CallKind.STREAM, [resetting]);
  resetting.script = resetBehind(FIRST_EVENT);
  for (let i = 0; i < CALLS; i++) {
    const {text, isComplete} = await exchangeRaw(fixture.describeCall());
    assert.match(text, /id: 1/);
    assert.ok(!isComplete);
  }
});

void test('a stream that is reset behind an event is continued by another runner', async () => {
  await serve(CallKind.RESUMABLE, [resetting, sound]);
  resetting.script = resetBehind(FIRST_EVENT);
  sound.script = ({id, headers}, response) => {
    const hasFirst = headers[names.lastEventId] !== undefined;
    response.writeHead(200, {[names.requestId]: id, [names.signature]: 's'});
    response.end(hasFirst ? ALL_EVENTS.slice(FIRST_EVENT.length) : ALL_EVENTS);
  };
  for (let i = 0; i < CALLS; i++) {
    const {text, isComplete} = await exchangeRaw(fixture.describeCall());
    assert.ok(isComplete);
    assert.equal(text.match(/^id: \d$/gm)?.join(), 'id: 1,id: 2');
  }
  assert.ok(resetting.received.length > 0);
});

void test('a stream that is reset while its caller does not read does not end as complete', async () => {
  await serve(CallKind.STREAM, [resetting]);
  const isReset = new Promise<void>(resolve => {
    resetting.script = ({id, socket}) => {
      socket.write(writeHead(id) + FIRST_EVENT);
      const events = Buffer.from(LARGE_EVENT.repeat(EVENTS));
      socket.write(events, () => {
        socket.resetAndDestroy();
        resolve();
      });
    };
  });
  const {text, isComplete} = await exchangeRaw({
    ...fixture.describeCall(),
    readAfter: isReset.then(() => sleep(PAUSE_MS)),
  });
  assert.match(text, /id: 1/);
  assert.ok(!isComplete);
});

void test('a response without a length that ends in the ordinary way is passed on', async () => {
  await serve(CallKind.UNSAFE, [sound]);
  sound.script = endBehind('up to here');
  for (let i = 0; i < CALLS; i++) {
    const {status, body} = await fixture.call();
    assert.deepEqual({status, body}, {status: 200, body: 'up to here'});
  }
});

void test('a response to HEAD without a length is complete with its headers', async () => {
  await serve(CallKind.SAFE, [sound]);
  sound.script = ({id, socket}) => socket.write(writeHead(id));
  assert.equal((await fixture.call({method: 'HEAD'})).status, 200);
});
