import type {IncomingMessage} from 'node:http';
import type {RestHeader} from '../runners/rest_header.js';
import {truncateMalformedValue} from './truncate_malformed_value.js';

/** Status of a rejection that may name a rest. */
const UNAVAILABLE = 503;
/** Seconds as a decimal number without sign or exponent. The platform sends no dates. */
const SECONDS = /^\d{1,9}(\.\d+)?$/;
const MS_PER_SECOND = 1_000;
/** Maximum rest, in ms: a longer one is no sensible request of a runner that stays, and would leave it idle. */
const MAX_REST_MS = 60_000;

/** Reads for how long a runner that rejects a request wants no others from this host. */
export function readRestHeader(
  {statusCode, headers}: IncomingMessage,
  header: string,
): RestHeader {
  const value = headers[header];
  if (statusCode !== UNAVAILABLE || value === undefined) return {};
  const text = String(value).trim();
  if (!SECONDS.test(text)) return {malformed: truncateMalformedValue(text)};
  const forMs = Number(text) * MS_PER_SECOND;
  if (forMs > MAX_REST_MS)
    return {forMs: MAX_REST_MS, malformed: truncateMalformedValue(text)};
  return forMs > 0 ? {forMs} : {};
}
