import type {IncomingMessage} from 'node:http';
import type {LimitHeader} from '../runners/limit_header.js';
import {truncateMalformedValue} from './truncate_malformed_value.js';

/** A decimal number without sign or exponent, short enough to be finite. */
const DECIMAL = /^\d{1,9}(\.\d+)?$/;
const NO_LIMIT: LimitHeader = {};

/** Reads the rate limit that a runner declares in a response; a header that occurs twice is malformed. */
export function readLimitHeader(
  response: IncomingMessage,
  header: string,
): LimitHeader {
  const value = response.headers[header];
  if (value === undefined) return NO_LIMIT;
  const text = String(value).trim();
  if (DECIMAL.test(text)) return {perSecond: Number(text)};
  return {malformed: truncateMalformedValue(text)};
}
