import type {IncomingMessage} from 'node:http';
import type {PooledConnection} from '../runners/pooled_connection.js';

/**
 * Whether a response arrived completely. Node reports a close-delimited response as complete even
 * if its connection was reset, because the parser sees an end in either case.
 */
export function isResponseComplete(
  response: IncomingMessage,
  connection: PooledConnection,
): boolean {
  return response.complete && !connection.hasFailed;
}
