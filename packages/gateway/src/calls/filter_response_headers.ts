import type {IncomingMessage} from 'node:http';
import {hopByHopHeaders} from './hop_by_hop_headers.js';
import {readConnectionOptions} from './read_connection_options.js';

/**
 * Returns the runner's headers that are passed on to the caller; `length`, if given, is the
 * content-length.
 */
export function filterResponseHeaders(
  response: IncomingMessage,
  length?: number,
): string[] {
  const {rawHeaders} = response;
  const connectionOptions = readConnectionOptions(rawHeaders);
  const headers: string[] = [];
  for (let i = 0; i < rawHeaders.length; i += 2) {
    const name = rawHeaders[i].toLowerCase();
    if (hopByHopHeaders.has(name) || connectionOptions.has(name)) continue;
    if (name === 'content-length') continue;
    headers.push(rawHeaders[i], rawHeaders[i + 1]);
  }
  if (length !== undefined) headers.push('content-length', String(length));
  return headers;
}
