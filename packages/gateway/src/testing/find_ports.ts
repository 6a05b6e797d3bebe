import {createServer} from 'node:net';
import type {Server} from 'node:net';

/**
 * The first port of all blocks. The range lies above the ports that fleets of daemons reserve (up to 30000), even
 * while a host restarts, and below the system's ephemeral ports for outgoing connections (from 32768). Either can take
 * a port between the check that it is free and the start of a host.
 */
const FIRST_PORT = 30_000;
/** Number of blocks: several for each of the test files that run at a time. */
const BLOCK_COUNT = 36;
/** Number of ports of a block; the first one is held by the process that uses the block. */
const BLOCK_SIZE = 75;
const PORTS_PER_BLOCK = BLOCK_SIZE - 1;

/** First ports of the blocks that this process uses. */
const blocks: number[] = [];
let nextIndex = 0;
/** Settles when the ports that were asked for last are found. */
let lastSearch: Promise<unknown> = Promise.resolve();

/** Finds loopback ports that are free now. A process takes block after block, and reuses ports once none is left. */
export function findPorts(count: number): Promise<number[]> {
  const search = lastSearch.then(() => takePorts(count));
  lastSearch = search.catch(() => undefined);
  return search;
}

async function takePorts(count: number): Promise<number[]> {
  const ports: number[] = [];
  while (ports.length < count) {
    const port = await takeNext();
    if (await isFree(port)) ports.push(port);
  }
  return ports;
}

async function takeNext(): Promise<number> {
  if (nextIndex >= blocks.length * PORTS_PER_BLOCK) await takeBlock();
  const firstPort = blocks[Math.floor(nextIndex / PORTS_PER_BLOCK)];
  const port = firstPort + 1 + (nextIndex % PORTS_PER_BLOCK);
  nextIndex += 1;
  return port;
}

/** Holds one more block until the process ends; begins anew with the first one if all blocks are held. */
async function takeBlock(): Promise<void> {
  for (let i = 0; i < BLOCK_COUNT; i++) {
    const firstPort = toFirstPort(process.pid + i);
    const server = await listen(firstPort);
    if (!server) continue;
    server.unref();
    blocks.push(firstPort);
    return;
  }
  nextIndex = 0;
  // More processes than blocks: they share one.
  if (blocks.length === 0) blocks.push(toFirstPort(process.pid));
}

function toFirstPort(block: number): number {
  return FIRST_PORT + (block % BLOCK_COUNT) * BLOCK_SIZE;
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
