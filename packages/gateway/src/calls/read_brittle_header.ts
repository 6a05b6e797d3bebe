import type {IncomingMessage} from 'node:http';
import type {BrittleHeader} from '../runners/brittle_header.js';
import {truncateMalformedValue} from './truncate_malformed_value.js';

/** A decimal number without sign or exponent. */
const NUMBER = /^\d{1,9}(\.\d+)?$/;

/** Reads how many requests a runner may reject in a second before it fails; an invalid value counts as none stated. */
export function readBrittleHeader(
  {headers}: IncomingMessage,
  header: string,
): BrittleHeader {
  const value = headers[header];
  if (value === undefined) return {};
  const text = String(value).trim();
  if (!NUMBER.test(text)) return {malformed: truncateMalformedValue(text)};
  return {perSecond: Number(text)};
}
