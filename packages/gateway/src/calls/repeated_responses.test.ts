// Guards against taking a response that a runner repeats late for the response to the next attempt of the same call.
import assert from 'node:assert/strict';
import type {Socket} from 'node:net';
import {afterEach, beforeEach, test} from 'node:test';
import {CallKind} from '@bayspool/decisions/calls';
import {GatewayFixture} from '../testing/gateway_fixture.js';
import {plainHeaderNames as names} from '../testing/plain_header_names.js';
import {ScriptedRunner} from '../testing/scripted_runner.js';

/** Time from a request to the response of the runner that runs it, in ms. */
const WORK_MS = 60;
const WHOLE_BODY = 'id: 1\ndata: whole\n\n';

let fixture: GatewayFixture;
let runner: ScriptedRunner;
/** Ids of the requests that the runner ran. */
let runIds: string[];

beforeEach(() => {
  fixture = new GatewayFixture();
  runner = new ScriptedRunner({id: 'one'});
  runIds = [];
});

afterEach(() => fixture.stop());

function formatResponse(id: string, head: string, body: string): string {
  return `HTTP/1.1 ${head}\r\n${names.requestId}: ${id}\r\ncontent-length: ${body.length}\r\n\r\n${body}`;
}

function formatRejection(id: string): string {
  return formatResponse(id, `503 Full\r\n${names.notRun}: 1`, '');
}

function formatSuccess(id: string, body: string): string {
  return formatResponse(id, `200 OK\r\n${names.signature}: s`, body);
}

interface Responses {
  /** How many requests get the first response; the one after them runs. */
  readonly count: number;
  readonly first: (id: string) => string;
  readonly repeated: (id: string) => string;
}

/**
 * Starts a host before the runner, which repeats something on each connection of an earlier response once the request
 * that it runs has arrived.
 */
async function serve(
  route: {readonly kind: CallKind; readonly attempts: number},
  {count, first, repeated}: Responses,
): Promise<void> {
  const usedSockets: Socket[] = [];
  runner.script = ({id, socket}) => {
    if (usedSockets.length < count) {
      usedSockets.push(socket);
      return void socket.write(first(id));
    }
    for (const used of usedSockets) used.write(repeated(id));
    runIds.push(id);
    setTimeout(() => socket.write(formatSuccess(id, WHOLE_BODY)), WORK_MS);
  };
  fixture.configure([route]);
  await fixture.addRunner(runner);
  await fixture.startHost({retryRatio: 5});
  await fixture.waitReady();
}

/** An immediate retry finds the connection of the rejection still in use, the one after it does not. */
const rejections = {
  count: 2,
  first: formatRejection,
  repeated: formatRejection,
};

for (const kind of [CallKind.UNSAFE, CallKind.STREAM, CallKind.SAFE]) {
  void test(`a call of kind ${kind} does not run twice because its runner repeats a rejection`, async () => {
    await serve({kind, attempts: 4}, rejections);
    const {status, body} = await fixture.call();
    assert.deepEqual({status, body}, {status: 200, body: WHOLE_BODY});
    assert.equal(runIds.length, 1);
  });

  void test(`a call of kind ${kind} that runs is not rejected because its runner repeats a rejection`, async () => {
    await serve({kind, attempts: 3}, rejections);
    const {status, body} = await fixture.call();
    assert.deepEqual({status, body}, {status: 200, body: WHOLE_BODY});
    assert.equal(runIds.length, 1);
  });
}

for (const kind of [CallKind.SAFE, CallKind.RESUMABLE])
  void test(`a surplus response behind a failure is no response to the next attempt of a call of kind ${kind}`, async () => {
    await serve(
      {kind, attempts: 3},
      {
        count: 1,
        first: id => formatResponse(id, '500 Failed', 'failed'),
        repeated: id => formatSuccess(id, 'id: 1\ndata: surplus\n\n'),
      },
    );
    const {status, body} = await fixture.call();
    assert.deepEqual({status, body}, {status: 200, body: WHOLE_BODY});
  });

void test('a repeated rejection is no response to a request of the same id that comes anew, as from another host', async () => {
  await serve({kind: CallKind.UNSAFE, attempts: 1}, {...rejections, count: 1});
  const headers = {[names.requestId]: 'the-same'};
  assert.equal((await fixture.call({headers})).status, 503);
  const {status, body} = await fixture.call({headers});
  assert.deepEqual({status, body}, {status: 200, body: WHOLE_BODY});
});

void test('a connection with a rejection is used again by the calls that follow', async () => {
  await serve({kind: CallKind.UNSAFE, attempts: 1}, {...rejections, count: 1});
  await fixture.call();
  runner.script = ({id, socket}) => socket.write(formatSuccess(id, WHOLE_BODY));
  for (let i = 0; i < 4; i++) assert.equal((await fixture.call()).status, 200);
  assert.equal(runner.connections, 1);
});
