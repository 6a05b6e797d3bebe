import type {IncomingMessage} from 'node:http';
import type {CallRoute} from '@bayspool/decisions/calls';
import type {CallHead} from './call_head.js';
import type {HeaderNames} from './header_names.js';
import {readNumberHeader} from './read_number_header.js';
import {readPrompt} from './read_prompt.js';

interface Options {
  readonly request: IncomingMessage;
  readonly route: CallRoute;
  readonly headerNames: HeaderNames;
  /** When the request arrived, on this host's clock. */
  readonly acceptedAt: number;
}

/** Part of a caller's deadline reserved for the transit of the response, in ms. */
const RESPONSE_TRANSIT_MS = 10;

/** Reads what the head of a validated request tells of the call. */
export function readCallHead({
  request,
  route,
  headerNames,
  acceptedAt,
}: Options): CallHead {
  const {headers} = request;
  const deadlineMs =
    readNumberHeader(request, headerNames.deadline) ?? Infinity;
  return {
    id: String(headers[headerNames.requestId]),
    route,
    acceptedAt,
    deadlineAt:
      acceptedAt +
      Math.min(deadlineMs - RESPONSE_TRANSIT_MS, route.timeLimitMs),
    prompt: readPrompt(
      singleValue(headers[headerNames.promptSize]),
      singleValue(headers[headerNames.promptParts]),
      singleValue(headers[headerNames.lengthHint]),
    ),
  };
}

function singleValue(value: string | string[] | undefined): string | undefined {
  return typeof value === 'string' ? value : undefined;
}
