import {createServer} from 'node:net';
import type {Server} from 'node:net';

/**
 * The first port of all blocks. The range lies above the ports that fleets of daemons reserve (up to 30000), even
 * while a host restarts, and below the system's ephemeral ports for outgoing connections (from 32768). Either can take
 * a port between the check that it is free and the start of a host.
 */
const FIRST_PORT = 30_000;
/** Number of blocks: more than the test files that run at a time. */
const BLOCK_COUNT = 18;
/** Number of ports of a block; the first one is held by the process that uses the block. */
const BLOCK_SIZE = 150;

/** The ports of the process's block that come next, in turn; undefined until a block is held. */
let block: Promise<Block> | undefined;

/** A range of ports that no other process of the tests uses. */
interface Block {
  readonly firstPort: number;
  nextIndex: number;
}

/** Finds loopback ports that are free now. A process reuses a port only after it went through its whole block. */
export async function findPorts(count: number): Promise<number[]> {
  block ??= holdBlock();
  const held = await block;
  const ports: number[] = [];
  while (ports.length < count) {
    const index = held.nextIndex++ % (BLOCK_SIZE - 1);
    const port = held.firstPort + 1 + index;
    if (await isFree(port)) ports.push(port);
  }
  return ports;
}

/** Takes a block until the process ends. Blocks are shared if there are more processes than blocks. */
async function holdBlock(): Promise<Block> {
  for (let i = 0; i < BLOCK_COUNT; i++) {
    const number = (process.pid + i) % BLOCK_COUNT;
    const firstPort = FIRST_PORT + number * BLOCK_SIZE;
    const server = await listen(firstPort);
    if (!server) continue;
    server.unref();
    return {firstPort, nextIndex: 0};
  }
  const number = process.pid % BLOCK_COUNT;
  return {firstPort: FIRST_PORT + number * BLOCK_SIZE, nextIndex: 0};
}

async function isFree(port: number): Promise<boolean> {
  const server = await listen(port);
  if (!server) return false;
  await new Promise(resolve => server.close(resolve));
  return true;
}

/** Returns the server that listens; undefined if the port is taken. */
function listen(port: number): Promise<Server | undefined> {
  return new Promise(resolve => {
    const server = createServer();
    server.once('error', () => resolve(undefined));
    server.listen(port, '127.0.0.1', () => resolve(server));
  });
}
