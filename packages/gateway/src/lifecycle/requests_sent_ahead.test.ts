// Guards against requests that a runner received and whose connection a stopping host closes without their responses.
import assert from 'node:assert/strict';
import {connect} from 'node:net';
import type {Socket} from 'node:net';
import {afterEach, beforeEach, test} from 'node:test';
import {CallKind} from '@bayspool/decisions/calls';
import {GatewayFixture} from '../testing/gateway_fixture.js';
import {plainHeaderNames as names} from '../testing/plain_header_names.js';
import {ScriptedRunner} from '../testing/scripted_runner.js';

const REQUESTS = 3;
/** Time between the responses to two requests of one connection, in ms. */
const RESPONSE_INTERVAL_MS = 150;

let fixture: GatewayFixture;
let runner: ScriptedRunner;

beforeEach(async () => {
  fixture = new GatewayFixture();
  runner = new ScriptedRunner({id: 'one', script: respondInTurn});
  fixture.configure([{kind: CallKind.UNSAFE, timeLimitMs: 8_000}]);
  await fixture.addRunner(runner);
  await fixture.startHost({graceMs: 6_000});
  await fixture.waitReady();
});

afterEach(() => fixture.stop());

/** Responds later to each further request, so that shutdown begins before the first response. */
const respondInTurn: ScriptedRunner['script'] = ({id}, response) => {
  const position = runner.received.length;
  setTimeout(() => {
    response.writeHead(200, {[names.requestId]: id, [names.signature]: 's'});
    response.end(`id: 1\ndata: body of ${id}\n\n`);
  }, RESPONSE_INTERVAL_MS * position);
};

/** Starts a stream at once, and ends it before the responses to requests behind it. */
const streamFirst: ScriptedRunner['script'] = (request, response) => {
  if (runner.received.length > 1) return respondInTurn(request, response);
  const head = {[names.requestId]: request.id, [names.signature]: 's'};
  response.writeHead(200, head).write('id: 1\ndata: a\n\n');
  setTimeout(
    () => response.end(`id: 2\ndata: body of ${request.id}\n\n`),
    RESPONSE_INTERVAL_MS,
  );
};

/** Sends requests one behind the other on one connection. */
function sendAhead(count: number): {socket: Socket; send: () => void} {
  const {port} = fixture.describeCall();
  const socket = connect({host: '127.0.0.1', port});
  socket.on('error', () => undefined);
  const send = (): void => void socket.write(fixture.describeCall().request);
  for (let i = 0; i < count; i++) send();
  return {socket, send};
}

/** Resolves with all that arrives on a connection until it ends. */
function readToEnd(socket: Socket): Promise<string> {
  return new Promise(resolve => {
    let text = '';
    socket.on('data', chunk => {
      text += chunk.toString('latin1');
    });
    socket.once('close', () => resolve(text));
  });
}

/** Shuts the host down while all these requests run; resolves with those that have no response when the connection ends. */
async function shutDownBehind(
  count: number,
  sendsAnother = false,
): Promise<string[]> {
  const {socket, send} = sendAhead(count);
  const received = readToEnd(socket);
  await fixture.waitFor(() => runner.received.length === count);
  const shutDown = fixture.hosts[0].gateway.shutDown('test');
  if (sendsAnother) send();
  const text = await received;
  await shutDown;
  return runner.received
    .map(({id}) => id)
    .filter(id => !text.includes(`body of ${id}`));
}

void test('all requests that were sent ahead before shutdown are answered', async () => {
  assert.deepEqual(await shutDownBehind(REQUESTS), []);
});

void test('requests behind a stream that began before shutdown are answered', async () => {
  fixture.configure([{kind: CallKind.RESUMABLE, timeLimitMs: 8_000}]);
  await fixture.waitFor(
    () => fixture.events('configuration_in_force').length === 2,
  );
  runner.script = streamFirst;
  assert.deepEqual(await shutDownBehind(REQUESTS), []);
});

void test('a request that arrives behind one during shutdown is answered or not sent to a runner', async () => {
  assert.deepEqual(await shutDownBehind(1, true), []);
});
