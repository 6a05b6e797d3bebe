import type {IncomingMessage} from 'node:http';
import {isSelfDelimited} from '@bayspool/kernel';
import type {PooledConnection} from '../runners/pooled_connection.js';

interface Options {
  readonly response: IncomingMessage;
  /** Method of the request. */
  readonly method: string;
  readonly connection: PooledConnection;
}

/**
 * Whether a response arrived completely. Node reports a close-delimited response as complete however its
 * connection ended; it is complete only if the runner closed the connection in the ordinary way.
 */
export function isResponseComplete({
  response,
  method,
  connection,
}: Options): boolean {
  if (!response.complete || connection.hasFailed) return false;
  return isSelfDelimited(response, method) || connection.wasClosedByRunner;
}
