import type {ConnectionReads} from '@bayspool/kernel';
import type {ConnectionPool} from '../runners/connection_pool.js';
import type {PooledConnection} from '../runners/pooled_connection.js';

interface Options {
  readonly pool: ConnectionPool;
  readonly requestId: string;
  readonly connectionReads: ConnectionReads;
  /** Aborted when the attempt ends, for example because its caller has left. */
  readonly signal: AbortSignal;
}

/** Connections that are acquired for one request at most: a runner may close each of them. */
const MAX_CONNECTIONS = 2;

/**
 * Acquires a connection to a runner for a caller that is still there. What is known of the caller is renewed first, and
 * again if the connect took long: it may have left in a wait, or while this host stood still. A connection that its runner
 * closed meanwhile is replaced once.
 *
 * @returns undefined if the attempt ends before there is a connection
 */
export async function acquireConnection(
  options: Options,
): Promise<PooledConnection | undefined> {
  const {connectionReads, signal} = options;
  await connectionReads.ensureRecent();
  for (let acquired = 1; ; acquired++) {
    const connection = await connect(options);
    if (!connection) return undefined;
    await connectionReads.ensureRecent();
    const isClosed = !connection.isOpen;
    if (signal.aborted) {
      if (!isClosed) connection.release();
      return undefined;
    }
    if (!isClosed || acquired === MAX_CONNECTIONS) return connection;
  }
}

function connect({
  pool,
  requestId,
  signal,
}: Options): Promise<PooledConnection | undefined> {
  return new Promise((resolve, reject) => {
    const giveUp = () => resolve(undefined);
    if (signal.aborted) return giveUp();
    signal.addEventListener('abort', giveUp, {once: true});
    pool.acquire(requestId).then(connection => {
      signal.removeEventListener('abort', giveUp);
      if (signal.aborted) connection.release();
      else resolve(connection);
    }, reject);
  });
}
