// Guards against taking a reset connection for one that its peer closed in the ordinary way.
import assert from 'node:assert/strict';
import {connect, createServer} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';
import {test} from 'node:test';
import type {TestContext} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {ConnectionEnd} from './connection_end.js';

const CONNECTIONS = 100;
/** Larger than what the kernel buffers of a connection hold, in bytes. */
const LARGE_BYTES = 16_777_216;

/** Starts a server that ends each connection as given, as soon as it gets bytes. */
async function listen(
  context: TestContext,
  end: (socket: Socket) => void,
): Promise<number> {
  const server = createServer({allowHalfOpen: true}, socket => {
    socket.on('error', () => undefined);
    socket.once('data', () => end(socket));
    context.after(() => socket.destroy());
  });
  context.after(() => server.close());
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return (server.address() as AddressInfo).port;
}

/** Connects, sends bytes, and resolves with how the connection ended. */
function readEnd(port: number, sent: string | Buffer): Promise<ConnectionEnd> {
  return new Promise(resolve => {
    const socket = connect({host: '127.0.0.1', port});
    const end = new ConnectionEnd(socket);
    socket.on('error', () => undefined);
    socket.on('end', () => resolve(end));
    socket.once('close', () => resolve(end));
    socket.resume();
    socket.write(sent);
  });
}

void test('a connection that its peer closes behind bytes ends in the ordinary way', async context => {
  const port = await listen(context, socket => socket.end('bytes'));
  for (let i = 0; i < CONNECTIONS; i++)
    assert.ok((await readEnd(port, 'x')).wasOrderly);
});

void test('a connection that is reset behind bytes does not end in the ordinary way', async context => {
  const port = await listen(context, socket =>
    socket.write('bytes', () => socket.resetAndDestroy()),
  );
  for (let i = 0; i < CONNECTIONS; i++)
    assert.ok(!(await readEnd(port, 'x')).wasOrderly);
});

void test('a connection that is reset some time after its bytes does not end in the ordinary way', async context => {
  const port = await listen(context, socket => {
    socket.write('bytes');
    void sleep(20).then(() => socket.resetAndDestroy());
  });
  assert.ok(!(await readEnd(port, 'x')).wasOrderly);
});

void test('a connection whose peer has not taken all bytes is not taken for ended in the ordinary way', async context => {
  const port = await listen(context, socket => {
    socket.pause();
    socket.end('bytes');
  });
  const end = await readEnd(port, Buffer.alloc(LARGE_BYTES));
  assert.ok(!end.wasOrderly);
});
