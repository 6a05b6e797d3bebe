// Guards against passing a part of a response of a plain service on as the whole.
import assert from 'node:assert/strict';
import {createServer} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';
import {buffer} from 'node:stream/consumers';
import {test} from 'node:test';
import type {TestContext} from 'node:test';
import {HttpServiceRunner} from './http_service_runner.js';

const CALLS = 20;
/** A head that names no length, and a part of a body. */
const BYTES = 'HTTP/1.1 200 OK\r\n\r\nup to here';

/** Returns a runner whose server ends the connection of each call as given. */
async function startRunner(
  context: TestContext,
  end: (socket: Socket) => void,
): Promise<HttpServiceRunner> {
  const server = createServer(socket => {
    socket.on('error', () => undefined);
    socket.once('data', () => end(socket));
  });
  context.after(() => server.close());
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const {port} = server.address() as AddressInfo;
  return new HttpServiceRunner({
    id: 'one',
    service: 'svc',
    place: 'a',
    endpoint: `127.0.0.1:${port}`,
    connectTimeoutMs: 1_000,
    stallTimeoutMs: 1_000,
  });
}

async function readResponse(runner: HttpServiceRunner): Promise<string> {
  const request = {
    requestId: 'r',
    method: 'GET',
    path: '/',
    headers: {},
    body: Buffer.alloc(0),
  };
  const {body} = await runner.call(request, AbortSignal.timeout(5_000));
  return (await buffer(body)).toString();
}

void test('a response without a length whose connection is reset is not taken for complete', async context => {
  const runner = await startRunner(context, socket =>
    socket.write(BYTES, () => socket.resetAndDestroy()),
  );
  for (let i = 0; i < CALLS; i++) await assert.rejects(readResponse(runner));
});

void test('a response without a length whose connection is closed is complete', async context => {
  const runner = await startRunner(context, socket => socket.end(BYTES));
  for (let i = 0; i < CALLS; i++)
    assert.equal(await readResponse(runner), 'up to here');
});
