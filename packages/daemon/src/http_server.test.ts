// Guards against a server that cuts a response of which its caller has not taken everything when it stops.
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {Agent, get} from 'node:http';
import type {IncomingMessage, RequestListener} from 'node:http';
import {connect} from 'node:net';
import {test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {HttpServer} from './http_server.js';

/** More than the buffers of the kernel hold, in bytes. */
const LARGE_BYTES = 12_000_000;
/** Time from the stop of the server until the caller reads on, in ms. */
const PAUSE_MS = 300;
const CONNECTIONS = 10;
/** Pause between two requests of a caller that comes again and again, in ms. */
const CALL_PAUSE_MS = 100;
/** Time within which a server ends whose callers come again, in ms. */
const END_WITHIN_MS = 3_000;
const OK_LINE = 'HTTP/1.1 200 OK';

function createServer(listener: RequestListener): HttpServer {
  return new HttpServer({
    listener,
    endpoint: '127.0.0.1:0',
    setting: 'listen',
    maxConnections: 50,
    headersTimeoutMs: 1_000,
    requestTimeoutMs: 1_000,
  });
}

void test('a server that stops delivers a response to a slow reader, and then ends', async context => {
  const server = createServer(
    (_request, response) => void response.end(Buffer.alloc(LARGE_BYTES)),
  );
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

void test('a server that stops answers requests on connections that the kernel has established', async context => {
  const server = createServer((_request, response) => void response.end('ok'));
  context.after(() => server.destroy());
  const [host, port] = (await server.start()).split(':');
  const sockets = Array.from({length: CONNECTIONS}, () =>
    connect(Number(port), host),
  );
  const answers = sockets.map(async socket => {
    socket.write('GET / HTTP/1.1\r\nhost: a\r\n\r\n');
    const [chunk] = (await once(socket, 'data')) as [Buffer];
    return String(chunk).slice(0, OK_LINE.length);
  });
  // The connects are made at the end of this turn, and are not accepted before the next one.
  await new Promise<void>(resolve => process.nextTick(resolve));
  const stopped = server.stop();
  assert.deepEqual(
    await Promise.all(answers),
    answers.map(() => OK_LINE),
  );
  await stopped;
});

void test('a server that stops ends although a caller comes again and again on its connection', async context => {
  const server = createServer((_request, response) => void response.end('ok'));
  context.after(() => server.destroy());
  const address = await server.start();
  const agent = new Agent({keepAlive: true, maxSockets: 1});
  context.after(() => agent.destroy());
  const timer = setInterval(() => {
    get(`http://${address}/`, {agent}, response => response.resume()).on(
      'error',
      () => undefined,
    );
  }, CALL_PAUSE_MS);
  context.after(() => clearInterval(timer));
  await sleep(PAUSE_MS);
  const stopped = server.stop().then(() => 'ended');
  const timeout = sleep(END_WITHIN_MS, 'still open', {ref: false});
  assert.equal(await Promise.race([stopped, timeout]), 'ended');
});
