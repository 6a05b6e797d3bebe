import type {IncomingMessage} from 'node:http';
import type {LimitHeader} from '../runners/limit_header.js';

/** A decimal number without sign or exponent, short enough to be finite. */
const DECIMAL = /^\d{1,9}(\.\d{1,9})?$/;
/** Characters of a malformed limit that are told. */
const MAX_MALFORMED_LENGTH = 40;
const NO_LIMIT: LimitHeader = {};

/** Reads how many requests a second a runner takes, as an answer says; a header that comes twice makes no sense. */
export function readLimit(
  answer: IncomingMessage,
  header: string,
): LimitHeader {
  const value = answer.headers[header];
  if (value === undefined) return NO_LIMIT;
  const text = String(value).trim();
  if (DECIMAL.test(text)) return {perSecond: Number(text)};
  return {malformed: text.slice(0, MAX_MALFORMED_LENGTH)};
}
