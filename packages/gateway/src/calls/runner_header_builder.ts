import type {HeaderNames} from './header_names.js';
import {hopByHopHeaders} from './hop_by_hop_headers.js';
import type {IncomingCall} from './incoming_call.js';
import {relayHeaders} from '../relay/relay_headers.js';
import type {RequestHeaders} from './request_headers.js';
import {readConnectionOptions} from './read_connection_options.js';

type HeaderInput = Parameters<RequestHeaders['build']>[0];

/** Value of the priority header for the least urgent calls. */
const LEAST_URGENT_PRIORITY = 9;

/**
 * Builds the request headers for a runner: the caller's, without hop-by-hop and reserved ones, plus
 * those that the gateway sets.
 */
export class RunnerHeaderBuilder implements RequestHeaders {
  /** Headers that are never forwarded. */
  private readonly droppedNames: ReadonlySet<string>;
  /** Headers that the runner needs; they are forwarded even if a Connection header lists them. */
  private readonly requiredNames: ReadonlySet<string>;

  constructor(private readonly headerNames: HeaderNames) {
    this.droppedNames = new Set([
      ...hopByHopHeaders,
      ...headerNames.reserved,
      ...Object.values(relayHeaders),
      headerNames.apiKey,
      headerNames.workspace,
      headerNames.expectedRunner,
      headerNames.priority,
      headerNames.deadline,
      headerNames.requestId,
      headerNames.lastEventId,
      'content-length',
      'expect',
    ]);
    this.requiredNames = new Set([
      'host',
      headerNames.promptSize,
      headerNames.promptParts,
    ]);
  }

  /** Returns alternating names and values. */
  build(input: HeaderInput): string[] {
    const {rawHeaders} = input.call;
    const connectionOptions = readConnectionOptions(rawHeaders);
    const headers: string[] = [];
    for (let i = 0; i < rawHeaders.length; i += 2) {
      const name = rawHeaders[i].toLowerCase();
      if (this.isDropped(name, input.call, connectionOptions)) continue;
      headers.push(rawHeaders[i], rawHeaders[i + 1]);
    }
    return headers.concat(this.buildGatewayHeaders(input));
  }

  private isDropped(
    name: string,
    {route}: IncomingCall,
    connectionOptions: ReadonlySet<string>,
  ): boolean {
    if (this.requiredNames.has(name)) return false;
    if (name === this.headerNames.model) return route.models.length > 0;
    return this.droppedNames.has(name) || connectionOptions.has(name);
  }

  private buildGatewayHeaders({
    call,
    runnerId,
    model,
    remainingMs,
    lastEventId,
    priority = call.priority,
  }: HeaderInput): string[] {
    const {headerNames} = this;
    const headers = [headerNames.requestId, call.id];
    headers.push(
      headerNames.deadline,
      String(Math.max(1, Math.floor(remainingMs))),
    );
    headers.push(headerNames.expectedRunner, runnerId);
    if (call.workspace !== undefined)
      headers.push(headerNames.workspace, call.workspace);
    if (model !== undefined && call.route.models.length > 0)
      headers.push(headerNames.model, model);
    if (call.prompt)
      headers.push(
        headerNames.priority,
        String(Math.min(LEAST_URGENT_PRIORITY, priority)),
      );
    if (lastEventId !== undefined)
      headers.push(headerNames.lastEventId, String(lastEventId));
    if (call.body.length > 0 || call.method !== 'GET')
      headers.push('content-length', String(call.body.length));
    return headers;
  }
}
