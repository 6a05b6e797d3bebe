import type {IncomingMessage} from 'node:http';
import type {Clock} from '@bayspool/kernel';
import type {PooledConnection} from './pooled_connection.js';

interface Options {
  readonly clock: Clock;
  readonly response: IncomingMessage;
  readonly connection: PooledConnection;
}

/** Time for the rest of a response that is not used, in ms: a new connection costs less than a longer wait. */
const DRAIN_TIMEOUT_MS = 500;
/** Maximum size of the rest, in bytes. */
const MAX_DRAINED_BYTES = 65_536;
/** Maximum number of chunks of the rest: these take as much processor time as a new connection. */
const MAX_DRAINED_CHUNKS = 256;

/** Reads and drops the rest of a response, so that its connection can be used again; closes it if that takes too long. */
export function drainResponse({clock, response, connection}: Options): void {
  let drained = 0;
  let chunkCount = 0;
  response.on('data', (chunk: Buffer) => {
    drained += chunk.length;
    chunkCount += 1;
    if (drained > MAX_DRAINED_BYTES || chunkCount > MAX_DRAINED_CHUNKS)
      connection.discard();
  });
  // The outcome of the attempt is known already.
  response.on('error', () => undefined);
  const timer = clock.after(DRAIN_TIMEOUT_MS, () => connection.discard());
  response.once('close', () => timer.cancel());
}
