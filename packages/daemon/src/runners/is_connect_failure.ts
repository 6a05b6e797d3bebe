import {TimeoutError} from 'got';

const CONNECT_ERROR_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'EADDRNOTAVAIL',
  'ENOTFOUND',
  'UND_ERR_CONNECT_TIMEOUT',
]);
const CONNECT_TIMEOUT_EVENTS = new Set(['lookup', 'connect', 'secureConnect']);

/** Whether a request failed before its connection was established, so no byte of it was sent. */
export function isConnectFailure(error: unknown): boolean {
  if (error instanceof TimeoutError)
    return CONNECT_TIMEOUT_EVENTS.has(error.event);
  const code = (error as {code?: unknown} | undefined)?.code;
  return typeof code === 'string' && CONNECT_ERROR_CODES.has(code);
}
