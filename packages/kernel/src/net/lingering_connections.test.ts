// Guards against resets of connections that close behind a response while their callers still send, and against connections that stay.
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer} from 'node:http';
import type {RequestListener} from 'node:http';
import {connect} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';
import {test} from 'node:test';
import type {TestContext} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {SystemClock} from '../clock/system_clock.js';
import {ServerConnections} from './server_connections.js';

const REQUEST = 'GET / HTTP/1.1\r\nhost: a\r\n\r\n';
const LONG_BODY_HEAD =
  'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 10000000\r\n\r\n';
const CHUNK = 'x'.repeat(10_000);
const CHUNKS = 20;
/** Pause between two chunks of a body, in ms. */
const CHUNK_PAUSE_MS = 20;
/** Times until a connection is closed whose caller sends nothing, and one whose caller sends without end, in ms. */
const CLOSED_WHEN_QUIET_MS = 2_000;
const CLOSED_AT_LAST_MS = 8_000;
const MAX_CONNECTIONS = 256;
/** A request of 1 KiB. */
const LARGE_REQUEST = `GET / HTTP/1.1\r\nhost: a\r\npad: ${'x'.repeat(990)}\r\n\r\n`;
/** Requests that are read behind a last response, and those that one read of 64 KiB may bring beside them. */
const MAX_REQUESTS_READ = 100 + 64;

const respondAndClose: RequestListener = (_request, response) =>
  void response.writeHead(503, {connection: 'close'}).end('refused');

/** Starts a server; `open` connects a caller that does not close its connection behind the server. */
async function startServer(
  context: TestContext,
  listener: RequestListener = respondAndClose,
) {
  const server = createServer(listener);
  const connections = new ServerConnections({clock: new SystemClock(), server});
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  context.after(() => {
    server.close();
    server.closeAllConnections();
  });
  const {port} = server.address() as AddressInfo;
  const errors: string[] = [];
  const open = async (): Promise<Socket> => {
    const socket = connect({port, host: '127.0.0.1', allowHalfOpen: true});
    context.after(() => socket.destroy());
    socket.on('error', ({message}) => void errors.push(message));
    await once(socket, 'connect');
    return socket;
  };
  return {server, connections, open, errors};
}

async function countConnections(
  server: ReturnType<typeof createServer>,
): Promise<number> {
  return new Promise((resolve, reject) =>
    server.getConnections((error, count) =>
      error ? reject(error) : resolve(count),
    ),
  );
}

void test('a caller that still sends its body reads the whole response, and is not reset', async context => {
  const {server, open, errors} = await startServer(context);
  const socket = await open();
  let text = '';
  socket.on('data', chunk => (text += chunk));
  socket.write(LONG_BODY_HEAD);
  for (let i = 0; i < CHUNKS; i++) {
    socket.write(CHUNK);
    await sleep(CHUNK_PAUSE_MS);
  }
  assert.deepEqual(errors, []);
  assert.match(text, /refused/);
  socket.end();
  await once(socket, 'close');
  assert.deepEqual(errors, []);
  assert.equal(await countConnections(server), 0);
});

void test('a caller that sends requests ahead of a response that closes the connection is not reset', async context => {
  const {open, errors} = await startServer(context);
  const socket = await open();
  socket.resume();
  socket.write(REQUEST);
  for (let i = 0; i < CHUNKS; i++) {
    socket.write(REQUEST);
    await sleep(CHUNK_PAUSE_MS);
  }
  assert.deepEqual(errors, []);
  socket.end();
  await once(socket, 'close');
  assert.deepEqual(errors, []);
});

void test('a connection that its caller does not close is closed by the server', async context => {
  const {server, connections, open} = await startServer(context);
  const socket = await open();
  socket.resume();
  socket.write(REQUEST);
  await once(socket, 'end');
  assert.ok(connections.hasLingering);
  await sleep(CLOSED_WHEN_QUIET_MS);
  assert.equal(await countConnections(server), 0);
  assert.ok(!connections.hasLingering);
  assert.equal(connections.unclosedCount, 1);
});

void test('a connection whose caller sends without end is closed by the server', async context => {
  const {server, open} = await startServer(context);
  const socket = await open();
  socket.resume();
  socket.write(LONG_BODY_HEAD);
  const timer = setInterval(() => socket.write('x'), 10 * CHUNK_PAUSE_MS);
  context.after(() => clearInterval(timer));
  await once(socket, 'end');
  await sleep(CLOSED_WHEN_QUIET_MS);
  assert.equal(await countConnections(server), 1);
  await sleep(CLOSED_AT_LAST_MS - CLOSED_WHEN_QUIET_MS);
  assert.equal(await countConnections(server), 0);
});

void test('a connection whose caller sends requests without end takes no memory for them', async context => {
  let count = 0;
  const {server, open} = await startServer(context, (request, response) => {
    count += 1;
    if (count === 1) respondAndClose(request, response);
  });
  const socket = await open();
  socket.resume();
  socket.write(REQUEST);
  await once(socket, 'end');
  const timer = setInterval(() => socket.write(LARGE_REQUEST.repeat(20)), 5);
  context.after(() => clearInterval(timer));
  await sleep(1_000);
  assert.ok(count > 1 && count <= 1 + MAX_REQUESTS_READ, `${count} requests`);
  assert.equal(await countConnections(server), 0);
});

void test('no more than a bounded number of connections stays open for callers that do not close theirs', async context => {
  const {server, open} = await startServer(context);
  const sockets = await Promise.all(
    Array.from({length: MAX_CONNECTIONS + 20}, open),
  );
  await Promise.all(
    sockets.map(socket => {
      socket.resume();
      socket.write(REQUEST);
      return once(socket, 'end');
    }),
  );
  assert.equal(await countConnections(server), MAX_CONNECTIONS);
});
