import type {IncomingMessage} from 'node:http';
import type {LeavingHeader} from '../runners/leaving_header.js';
import {truncateMalformedValue} from './truncate_malformed_value.js';

const LEAVING = '1';
const STAYING = '0';

/** Reads whether a runner states in a response that it will end soon; any other value is malformed. */
export function readLeavingHeader(
  {headers}: IncomingMessage,
  header: string,
): LeavingHeader {
  const value = headers[header];
  if (value === undefined) return {isLeaving: false};
  const text = String(value).trim();
  // A header that occurs several times is joined to a list.
  const values = text.split(',').map(one => one.trim());
  if (values.includes(LEAVING)) return {isLeaving: true};
  if (text === STAYING) return {isLeaving: false};
  return {isLeaving: false, malformed: truncateMalformedValue(text)};
}
