import {createServer} from 'node:net';

/**
 * First port that is tried: above those that fleets of daemons keep (up to 30000), also while a host restarts, and
 * below those that the system gives to outgoing connections (from 32768 on). Either would meet on a port between
 * the moment it is found free and the start of a host: once in 60 runs of one test, 20 at a time, with
 * outgoing connections; once in 4 runs of all tests with a fleet.
 */
const FIRST_PORT = 30_000;
/** Ports that are tried in all. */
const PORT_COUNT = 2_700;
/** Ports between the first ones tried by processes that were started one after the other. */
const PROCESS_STEP = 64;

let nextIndex = process.pid * PROCESS_STEP;

/** Ports of loopback that are free now, no two calls of a process give the same soon. */
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
