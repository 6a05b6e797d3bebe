import type {IncomingMessage} from 'node:http';
import type {PooledConnection} from '../runners/pooled_connection.js';

/**
 * Whether an answer came to its end. Node takes one without a length as complete when its connection
 * is reset, because the parser is told of an end in either case.
 */
export function isResponseComplete(
  answer: IncomingMessage,
  connection: PooledConnection,
): boolean {
  return answer.complete && !connection.hasFailed;
}
