import type {IncomingMessage} from 'node:http';
import {
  chooseService,
  intersectRegions,
  fingerprintRequest,
} from '@bayspool/decisions/calls';
import type {ValidatedRequest} from './validated_request.js';
import type {HeaderNames} from './header_names.js';
import type {IncomingCall} from './incoming_call.js';
import {readNumberHeader} from './read_number_header.js';
import {readPrompt} from './read_prompt.js';

interface Options {
  readonly request: IncomingMessage;
  readonly body: Buffer;
  readonly validated: ValidatedRequest;
  readonly headerNames: HeaderNames;
  /** When the request arrived, on this host's clock. */
  readonly acceptedAt: number;
}

/** Time kept back from a caller's deadline for the answer's way, in ms. */
const RESPONSE_TRANSIT_MS = 10;

/** The call that an admitted request makes. */
export function createCall({
  request,
  body,
  validated: admission,
  headerNames: names,
  acceptedAt,
}: Options): IncomingCall {
  const {route, holder} = admission;
  const {headers} = request;
  const id = String(headers[names.requestId]);
  const deadlineMs = readNumberHeader(request, names.deadline) ?? Infinity;
  const session = headers[names.session];
  const model = headers[names.model];
  const sessionId = typeof session === 'string' ? session : undefined;
  const {method = 'GET', url: path = '/'} = request;
  const {hostName} = route;
  const workspace = holder?.workspace;
  return {
    id,
    method,
    path,
    fingerprint: fingerprintRequest({method, hostName, path, workspace, body}),
    rawHeaders: request.rawHeaders,
    body,
    route,
    service: chooseService(route, sessionId ?? id),
    workspace,
    regions: intersectRegions(route.regions, holder?.regions),
    priority: holder?.priority ?? route.priority,
    acceptedAt,
    deadlineAt:
      acceptedAt +
      Math.min(deadlineMs - RESPONSE_TRANSIT_MS, route.timeLimitMs),
    prompt: readPrompt(
      singleValue(headers[names.promptSize]),
      singleValue(headers[names.promptParts]),
    ),
    session: sessionId,
    model: typeof model === 'string' ? model : undefined,
  };
}

function singleValue(value: string | string[] | undefined): string | undefined {
  return typeof value === 'string' ? value : undefined;
}
