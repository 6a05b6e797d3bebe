import type {IncomingMessage} from 'node:http';
import {readNumberHeader} from '../calls/read_number_header.js';
import {relayHeaders} from './relay_headers.js';
import type {RelayOrigin} from './relay_origin.js';

/** Reads what the relaying host states of a call. One attempt is allowed if it states no number. */
export function readRelayOrigin(request: IncomingMessage): RelayOrigin {
  const host = request.headers[relayHeaders.FROM];
  const attempts = readNumberHeader(request, relayHeaders.ATTEMPTS) ?? 1;
  return {
    host: typeof host === 'string' ? host : '',
    attempts: Math.max(1, Math.floor(attempts)),
    isCounted: request.headers[relayHeaders.COUNTED] === '1',
  };
}
