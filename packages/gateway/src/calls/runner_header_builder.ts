import type {HeaderNames} from './header_names.js';
import {hopByHopHeaders} from './hop_by_hop_headers.js';
import type {IncomingCall} from './incoming_call.js';
import {readConnectionOptions} from './read_connection_options.js';

interface HeaderInput {
  readonly call: IncomingCall;
  /** The id of the runner that is meant. */
  readonly runnerId: string;
  readonly model?: string;
  /** What is left of the call's time, in ms. */
  readonly remainingMs: number;
  readonly lastEventId?: number;
}

/** Value of the priority header for the least urgent calls. */
const LEAST_URGENT_PRIORITY = 9;

/** Makes the headers that go to a runner: the caller's, less the hop's and ours, with what we set. */
export class RunnerHeaderBuilder {
  /** Never passed on. */
  private readonly droppedNames: ReadonlySet<string>;
  /** What a runner needs, so that a Connection header must not take it away. */
  private readonly requiredNames: ReadonlySet<string>;

  constructor(private readonly headerNames: HeaderNames) {
    this.droppedNames = new Set([
      ...hopByHopHeaders,
      ...headerNames.reserved,
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

  /** Names and values by turns. */
  build(head: HeaderInput): string[] {
    const {rawHeaders} = head.call;
    const nominated = readConnectionOptions(rawHeaders);
    const headers: string[] = [];
    for (let i = 0; i < rawHeaders.length; i += 2) {
      const name = rawHeaders[i].toLowerCase();
      if (this.isDropped(name, head.call, nominated)) continue;
      headers.push(rawHeaders[i], rawHeaders[i + 1]);
    }
    return headers.concat(this.buildGatewayHeaders(head));
  }

  private isDropped(
    name: string,
    {route}: IncomingCall,
    nominated: ReadonlySet<string>,
  ): boolean {
    if (this.requiredNames.has(name)) return false;
    if (name === this.headerNames.model) return route.models.length > 0;
    return this.droppedNames.has(name) || nominated.has(name);
  }

  private buildGatewayHeaders({
    call,
    runnerId: runner,
    model,
    remainingMs: leftMs,
    lastEventId,
  }: HeaderInput): string[] {
    const {headerNames: names} = this;
    const own = [names.requestId, call.id];
    own.push(names.deadline, String(Math.max(1, Math.floor(leftMs))));
    own.push(names.expectedRunner, runner);
    if (call.workspace !== undefined) own.push(names.workspace, call.workspace);
    if (model !== undefined && call.route.models.length > 0)
      own.push(names.model, model);
    if (call.prompt)
      own.push(
        names.priority,
        String(Math.min(LEAST_URGENT_PRIORITY, call.priority)),
      );
    if (lastEventId !== undefined)
      own.push(names.lastEventId, String(lastEventId));
    if (call.body.length > 0 || call.method !== 'GET')
      own.push('content-length', String(call.body.length));
    return own;
  }
}
