import type {IncomingMessage} from 'node:http';
import {isStreamed} from '@bayspool/decisions/calls';
import type {HeaderNames} from './header_names.js';
import type {IncomingCall} from './incoming_call.js';
import {MISDIRECTED} from './misdirected.js';
import {ResponseKind} from './response_kind.js';

/** Statuses from this one up to {@link REDIRECT} are successes. */
const OK = 200;
const REDIRECT = 300;

/** Tells from the head of a response what it is to an attempt of a call. */
export function classifyResponse(
  {headers, statusCode = 0}: Pick<IncomingMessage, 'headers' | 'statusCode'>,
  {id, route}: Pick<IncomingCall, 'id' | 'route'>,
  names: HeaderNames,
): ResponseKind {
  const answeredId = headers[names.requestId];
  if (answeredId !== undefined && answeredId !== id)
    return ResponseKind.OTHER_REQUEST;
  if (statusCode === MISDIRECTED || headers[names.notRun] !== undefined)
    return ResponseKind.NOT_RUN;
  if (statusCode < OK || statusCode >= REDIRECT) return ResponseKind.FAILURE;
  const isSigned = headers[names.signature] !== undefined;
  if (!isSigned || headers['content-encoding'] !== undefined)
    return ResponseKind.UNUSABLE;
  return isStreamed(route.kind) ? ResponseKind.STREAM : ResponseKind.WHOLE;
}
