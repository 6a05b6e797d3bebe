import {createServer} from 'node:net';

/**
 * The first port to try. The range lies above the ports that fleets of daemons reserve (up to 30000), even while a
 * host restarts, and below the system's ephemeral ports for outgoing connections (from 32768). Either can take a port
 * between the check that it is free and the start of a host. Collisions with outgoing connections occurred once in 60
 * runs of one test, 20 at a time; collisions with a fleet once in 4 runs of all tests.
 */
const FIRST_PORT = 30_000;
/** Size of the port range. */
const PORT_COUNT = 2_700;
/** Distance between the first ports that processes with consecutive ids try. */
const PROCESS_STEP = 64;

let nextIndex = process.pid * PROCESS_STEP;

/** Finds loopback ports that are free now. A process reuses a port only after it went through the whole range. */
export async function findPorts(count: number): Promise<number[]> {
  const ports: number[] = [];
  while (ports.length < count) {
    const port = FIRST_PORT + (nextIndex++ % PORT_COUNT);
    if (await isFree(port)) ports.push(port);
  }
  return ports;
}

function isFree(port: number): Promise<boolean> {
  return new Promise(resolve => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });
}
