import type {IncomingMessage} from 'node:http';
import {
  chooseService,
  intersectRegions,
  fingerprintRequest,
} from '@bayspool/decisions/calls';
import type {RelayOrigin} from '../relay/relay_origin.js';
import type {CallHead} from './call_head.js';
import type {ValidatedRequest} from './validated_request.js';
import type {HeaderNames} from './header_names.js';
import type {IncomingCall} from './incoming_call.js';

interface Options {
  readonly request: IncomingMessage;
  readonly head: CallHead;
  readonly body: Buffer;
  readonly validated: ValidatedRequest;
  readonly headerNames: HeaderNames;
  /** When the request was complete, on this host's clock. */
  readonly completedAt: number;
  /** What the relaying host states of the call, if there is one. */
  readonly relayOrigin?: RelayOrigin;
}

/** Creates the call for a validated request. */
export function createCall({
  request,
  head,
  body,
  validated,
  headerNames,
  completedAt,
  relayOrigin,
}: Options): IncomingCall {
  const {route, keyOwner} = validated;
  const {headers} = request;
  const session = headers[headerNames.session];
  const model = headers[headerNames.model];
  const sessionId = typeof session === 'string' ? session : undefined;
  const {method = 'GET', url: path = '/'} = request;
  const {hostName} = route;
  const workspace = keyOwner?.workspace;
  return {
    ...head,
    method,
    path,
    fingerprint: fingerprintRequest({method, hostName, path, workspace, body}),
    rawHeaders: request.rawHeaders,
    body,
    service: chooseService(route, sessionId ?? head.id),
    workspace,
    regions: intersectRegions(route.regions, keyOwner?.regions),
    priority: keyOwner?.priority ?? route.priority,
    completedAt,
    session: sessionId,
    model: typeof model === 'string' ? model : undefined,
    relayOrigin,
  };
}
