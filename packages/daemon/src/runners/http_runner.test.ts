// Guards against sending a request to a second engine because the first one repeats a refusal of another request.
import assert from 'node:assert/strict';
import {createServer} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';
import {test} from 'node:test';
import type {TestContext} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {PriorityClass, RunnerFailure} from '@bayspool/decisions';
import {HttpRunner} from './http_runner.js';

const REFUSAL =
  'HTTP/1.1 503 Busy\r\nx-engine-refused: busy\r\ncontent-length: 0\r\n\r\n';
const ANSWER =
  'HTTP/1.1 500 Failed\r\nx-answer: to the second request\r\ncontent-length: 0\r\n\r\n';
/** Time after which the connection of an answer is certainly idle, in ms. */
const IDLE_MS = 50;

async function startServer(
  context: TestContext,
  accept: (socket: Socket) => void,
): Promise<HttpRunner> {
  const server = createServer(socket => {
    context.after(() => socket.destroy());
    socket.on('error', () => undefined);
    accept(socket);
  });
  context.after(() => server.close());
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return new HttpRunner({
    id: 'one',
    place: 'a',
    endpoint: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    connectTimeoutMs: 1_000,
    stallTimeoutMs: 1_000,
  });
}

/** Starts an engine that refuses its first request, repeats that once the second one has arrived, and then answers it. */
function startEngine(context: TestContext): Promise<HttpRunner> {
  let refusedSocket: Socket | undefined;
  return startServer(context, socket =>
    socket.on('data', () => {
      if (!refusedSocket) {
        refusedSocket = socket;
        return void socket.write(REFUSAL);
      }
      if (!refusedSocket.destroyed) refusedSocket.write(REFUSAL);
      socket.write(ANSWER);
    }),
  );
}

/** Sends a request. @returns how the runner failed it */
async function failOnce(
  runner: HttpRunner,
  requestId: string,
): Promise<RunnerFailure> {
  const request = {
    requestId,
    version: 'm@1',
    body: {},
    priority: PriorityClass.BULK,
    resumeFrom: 0,
    generatedText: '',
    prefixes: [],
    headers: {},
  };
  try {
    await runner.generate(request, AbortSignal.timeout(2_000)).next();
  } catch (error) {
    if (error instanceof RunnerFailure) return error;
    throw error;
  }
  throw new Error('the runner has not failed');
}

void test('a refusal that an engine repeats is not taken for the response to the next request', async context => {
  const runner = await startEngine(context);
  assert.equal((await failOnce(runner, 'first')).mayHaveRun, false);
  await sleep(IDLE_MS);
  assert.equal((await failOnce(runner, 'second')).mayHaveRun, true);
});

void test('a failure that is no refusal makes no promise, and keeps its connection', async context => {
  let connections = 0;
  const runner = await startServer(context, socket => {
    connections += 1;
    socket.on('data', () => socket.write(ANSWER));
  });
  for (const id of ['first', 'second']) {
    assert.equal((await failOnce(runner, id)).mayHaveRun, true);
    await sleep(IDLE_MS);
  }
  assert.equal(connections, 1);
});
