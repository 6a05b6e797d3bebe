import type {HeaderNames} from './header_names.js';
import {hopHeaders} from './hop_headers.js';
import type {IncomingCall} from './incoming_call.js';
import {nominatedHeaders} from './nominated_headers.js';

interface RunnerHead {
  readonly call: IncomingCall;
  /** The id of the runner that is meant. */
  readonly runner: string;
  readonly model?: string;
  /** What is left of the call's time, in ms. */
  readonly leftMs: number;
  readonly lastEventId?: number;
}

/** Value of the priority header for the least urgent calls. */
const MAX_PRIORITY = 9;

/** Makes the headers that go to a runner: the caller's, less the hop's and ours, with what we set. */
export class RunnerHeaders {
  /** Never passed on. */
  private readonly dropped: ReadonlySet<string>;
  /** What a runner needs, so that a Connection header must not take it away. */
  private readonly kept: ReadonlySet<string>;

  constructor(private readonly names: HeaderNames) {
    this.dropped = new Set([
      ...hopHeaders,
      ...names.reserved,
      names.apiKey,
      names.workspace,
      names.expectedRunner,
      names.priority,
      names.deadline,
      names.requestId,
      names.lastEventId,
      'content-length',
      'expect',
    ]);
    this.kept = new Set(['host', names.promptSize, names.promptParts]);
  }

  /** Names and values by turns. */
  make(head: RunnerHead): string[] {
    const {rawHeaders} = head.call;
    const nominated = nominatedHeaders(rawHeaders);
    const headers: string[] = [];
    for (let i = 0; i < rawHeaders.length; i += 2) {
      const name = rawHeaders[i].toLowerCase();
      if (this.isDropped(name, head.call, nominated)) continue;
      headers.push(rawHeaders[i], rawHeaders[i + 1]);
    }
    return headers.concat(this.own(head));
  }

  private isDropped(
    name: string,
    {route}: IncomingCall,
    nominated: ReadonlySet<string>,
  ): boolean {
    if (this.kept.has(name)) return false;
    if (name === this.names.model) return route.models.length > 0;
    return this.dropped.has(name) || nominated.has(name);
  }

  private own({
    call,
    runner,
    model,
    leftMs,
    lastEventId,
  }: RunnerHead): string[] {
    const {names} = this;
    const own = [names.requestId, call.id];
    own.push(names.deadline, String(Math.max(1, Math.floor(leftMs))));
    own.push(names.expectedRunner, runner);
    if (call.workspace !== undefined) own.push(names.workspace, call.workspace);
    if (model !== undefined && call.route.models.length > 0)
      own.push(names.model, model);
    if (call.prompt)
      own.push(names.priority, String(Math.min(MAX_PRIORITY, call.priority)));
    if (lastEventId !== undefined)
      own.push(names.lastEventId, String(lastEventId));
    if (call.body.length > 0 || call.method !== 'GET')
      own.push('content-length', String(call.body.length));
    return own;
  }
}
