// Guards against a server that cuts a response of which its caller has not taken everything when it stops.
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {Agent, get} from 'node:http';
import type {IncomingMessage} from 'node:http';
import {test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {HttpServer} from './http_server.js';

/** More than the buffers of the kernel hold, in bytes. */
const LARGE_BYTES = 12_000_000;
/** Time from the stop of the server until the caller reads on, in ms. */
const PAUSE_MS = 300;

void test('a server that stops delivers a response to a slow reader, and then ends', async context => {
  const server = new HttpServer({
    listener: (_request, response) =>
      void response.end(Buffer.alloc(LARGE_BYTES)),
    endpoint: '127.0.0.1:0',
    setting: 'listen',
    maxConnections: 10,
    headersTimeoutMs: 1_000,
    requestTimeoutMs: 1_000,
  });
  context.after(() => server.destroy());
  const address = await server.start();
  const agent = new Agent({keepAlive: true});
  context.after(() => agent.destroy());
  const outgoing = get(`http://${address}/`, {agent});
  const [response] = (await once(outgoing, 'response')) as [IncomingMessage];
  const stopped = server.stop();
  await sleep(PAUSE_MS);
  let count = 0;
  response.on('data', (chunk: Buffer) => {
    count += chunk.length;
  });
  await once(response, 'close');
  assert.equal(count, LARGE_BYTES);
  await stopped;
});
