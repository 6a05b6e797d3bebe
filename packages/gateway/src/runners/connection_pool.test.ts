// Guards against sending a request twice on one connection, where a late response to the first could pass for that to the second.
import assert from 'node:assert/strict';
import {createServer} from 'node:net';
import type {AddressInfo} from 'node:net';
import {test} from 'node:test';
import type {TestContext} from 'node:test';
import {VirtualClock} from '@bayspool/kernel';
import {ConnectTimeout} from './connect_timeout.js';
import {ConnectionPool} from './connection_pool.js';

const DEADLINE_MS = 1_000;
/** More requests than a connection remembers. */
const MANY_REQUESTS = 300;

interface Setup {
  readonly clock: VirtualClock;
  readonly pool: ConnectionPool;
}

/** Returns a pool of connections to a server that says nothing. */
async function createPool(
  context: TestContext,
  maxConnections: number,
): Promise<Setup> {
  const server = createServer(socket => {
    context.after(() => socket.destroy());
  });
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const {port} = server.address() as AddressInfo;
  const clock = new VirtualClock();
  const pool = new ConnectionPool({
    clock,
    address: `127.0.0.1:${port}`,
    maxConnections: () => maxConnections,
    connectTimeout: new ConnectTimeout(),
  });
  context.after(() => {
    pool.close();
    server.close();
  });
  return {clock, pool};
}

void test('a request that was not answered on a connection is not sent on it again', async context => {
  const {clock, pool} = await createPool(context, 2);
  const first = await pool.acquire('a');
  first.noteUnanswered('a', clock.now() + DEADLINE_MS);
  first.release();
  const second = await pool.acquire('a');
  assert.notEqual(second, first);
  assert.equal(await pool.acquire('b'), first);
});

void test('a request that no idle connection may carry gets a connection although the pool is full', async context => {
  const {clock, pool} = await createPool(context, 1);
  const first = await pool.acquire('a');
  first.noteUnanswered('a', clock.now() + DEADLINE_MS);
  first.release();
  const second = await pool.acquire('a');
  assert.ok(first.socket.destroyed);
  assert.ok(second.isUsable);
});

void test('a connection forgets requests that are not sent again, and takes no more than it can remember', async context => {
  const {clock, pool} = await createPool(context, 1);
  const connection = await pool.acquire('a');
  for (let i = 0; i < MANY_REQUESTS; i++) {
    connection.noteUnanswered(`early-${i}`, clock.now() + DEADLINE_MS);
    clock.advance(DEADLINE_MS / 2);
  }
  assert.ok(connection.isUsable);
  for (let i = 0; i < MANY_REQUESTS; i++)
    connection.noteUnanswered(`late-${i}`, clock.now() + DEADLINE_MS);
  assert.ok(!connection.isUsable);
});
