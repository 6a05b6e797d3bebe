// Guards against work for a caller that has left after it sent several requests on one connection.
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {connect} from 'node:net';
import type {Socket} from 'node:net';
import {afterEach, beforeEach, test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {CallKind} from '@bayspool/decisions/calls';
import {GatewayFixture} from '../testing/gateway_fixture.js';
import {plainHeaderNames as names} from '../testing/plain_header_names.js';
import {ScriptedRunner} from '../testing/scripted_runner.js';

const REQUESTS = 3;
/** Time that a run takes longer than the one before it, in ms. */
const WORK_MS = 200;
/** More than the buffers of the kernel hold, in bytes. */
const LARGE_BYTES = 12_000_000;
/** Time after which work for a caller that has left has to have ended, in ms. */
const STOPPED_WITHIN_MS = 500;

let fixture: GatewayFixture;
let runner: ScriptedRunner;

beforeEach(async () => {
  fixture = new GatewayFixture();
  runner = new ScriptedRunner({id: 'one', script: () => undefined});
  fixture.configure([{kind: CallKind.SAFE, timeLimitMs: 4_000}]);
  await fixture.addRunner(runner);
  await fixture.startHost();
  await fixture.waitReady();
});

afterEach(() => fixture.stop());

/** Sends requests one behind the other, and waits until all are at the runner. */
async function sendAhead(): Promise<Socket> {
  const described = Array.from({length: REQUESTS}, () =>
    fixture.describeCall(),
  );
  const socket = connect({host: '127.0.0.1', port: described[0].port});
  socket.on('error', () => undefined);
  socket.resume();
  socket.write(described.map(({request}) => request).join(''));
  await fixture.waitFor(() => runner.received.length === REQUESTS);
  return socket;
}

for (const [what, leave] of [
  ['closes', (socket: Socket) => void socket.end()],
  ['resets', (socket: Socket) => void socket.resetAndDestroy()],
] as const)
  void test(`the runs of all its requests end when a caller ${what} its connection`, async () => {
    const socket = await sendAhead();
    const leftAt = performance.now();
    leave(socket);
    await fixture.waitFor(
      () =>
        runner.abortedIds.length === REQUESTS ||
        performance.now() - leftAt > STOPPED_WITHIN_MS,
    );
    assert.equal(runner.abortedIds.length, REQUESTS);
    assert.equal(fixture.events('caller_left').length, REQUESTS);
  });

void test('responses that wait for an earlier one are answered in order', async () => {
  runner.script = ({id}, response) => {
    const isFirst = runner.received[0].id === id;
    setTimeout(
      () => {
        const head = {[names.requestId]: id, [names.signature]: 's'};
        response.writeHead(200, head).end(id);
      },
      isFirst ? 200 : 0,
    );
  };
  const socket = await sendAhead();
  let text = '';
  socket.on('data', chunk => {
    text += chunk.toString('latin1');
  });
  await fixture.waitFor(() => text.split('HTTP/1.1 200').length > REQUESTS);
  const ids = runner.received.map(({id}) => id);
  const positions = ids.map(id => text.lastIndexOf(id));
  assert.deepEqual(
    positions,
    [...positions].sort((a, b) => a - b),
  );
  socket.destroy();
});

/** Sends requests that take long one after the other, and shuts the host down. @returns what the caller reads */
async function readDuringShutdown(): Promise<string> {
  let started = 0;
  runner.script = ({id}, response) => {
    started += 1;
    setTimeout(() => {
      const head = {[names.requestId]: id, [names.signature]: 's'};
      response.writeHead(200, head).end(id);
    }, started * WORK_MS);
  };
  const socket = await sendAhead();
  let text = '';
  socket.on('data', chunk => {
    text += chunk.toString('latin1');
  });
  const closed = once(socket, 'close');
  const shutDown = fixture.hosts[0].gateway.shutDown('test');
  await closed;
  await shutDown;
  return text;
}

void test('all requests that a runner has are answered when the host shuts down, and the last answer closes the connection', async () => {
  const text = await readDuringShutdown();
  const responses = text.split('HTTP/1.1 ').slice(1);
  assert.deepEqual(
    responses.map(response => response.slice(0, 3)),
    Array<string>(REQUESTS).fill('200'),
  );
  assert.deepEqual(
    responses.map(response => /^connection: close/im.test(response)),
    [false, false, true],
  );
});

void test('a request that is read behind the answer that closes its connection does not run', async () => {
  runner.script = ({id}, response) => {
    const head = {[names.requestId]: id, [names.signature]: 's'};
    response.writeHead(200, head).end('x'.repeat(LARGE_BYTES));
  };
  const {port, request} = fixture.describeCall();
  const socket = connect({host: '127.0.0.1', port});
  socket.pause();
  socket.write(request);
  const shutDown = fixture.hosts[0].gateway.shutDown('test');
  await fixture.waitFor(() => fixture.events('attempt_ended').length === 1);
  await sleep(WORK_MS);
  socket.write(fixture.describeCall().request);
  await fixture.waitFor(() => fixture.events('request_ignored').length === 1);
  let bytes = 0;
  socket.on('data', chunk => {
    bytes += chunk.length;
  });
  socket.resume();
  await once(socket, 'close');
  assert.ok(bytes > LARGE_BYTES);
  assert.equal(runner.received.length, 1);
  await shutDown;
});
