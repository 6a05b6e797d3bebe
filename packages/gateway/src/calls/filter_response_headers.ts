import type {IncomingMessage} from 'node:http';
import {hopByHopHeaders} from './hop_by_hop_headers.js';
import {readConnectionOptions} from './read_connection_options.js';

/** The runner's headers that go to the caller; `length` replaces the body's length when given. */
export function filterResponseHeaders(
  answer: IncomingMessage,
  length?: number,
): string[] {
  const {rawHeaders} = answer;
  const nominated = readConnectionOptions(rawHeaders);
  const headers: string[] = [];
  for (let i = 0; i < rawHeaders.length; i += 2) {
    const name = rawHeaders[i].toLowerCase();
    if (hopByHopHeaders.has(name) || nominated.has(name)) continue;
    if (name === 'content-length') continue;
    headers.push(rawHeaders[i], rawHeaders[i + 1]);
  }
  if (length !== undefined) headers.push('content-length', String(length));
  return headers;
}
