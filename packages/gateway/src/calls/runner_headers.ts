import type {HeaderNames} from './header_names.js';
import {hopHeaders} from './hop_headers.js';
import type {IncomingCall} from './incoming_call.js';
import {nominatedHeaders} from './nominated_headers.js';

interface Options {
  readonly call: IncomingCall;
  readonly names: HeaderNames;
  /** The id of the runner that is meant. */
  readonly runner: string;
  readonly model?: string;
  /** What is left of the call's time, in ms. */
  readonly leftMs: number;
  readonly lastEventId?: number;
}

/** Value of the priority header for the least urgent calls. */
const MAX_PRIORITY = 9;

/** The headers that go to a runner: the caller's, less the hop's and ours, with what we set. */
export function runnerHeaders(options: Options): string[] {
  const {call, names} = options;
  const dropped = droppedNames(call, names);
  const headers: string[] = [];
  for (let i = 0; i < call.rawHeaders.length; i += 2) {
    const name = call.rawHeaders[i].toLowerCase();
    if (dropped.has(name)) continue;
    headers.push(call.rawHeaders[i], call.rawHeaders[i + 1]);
  }
  return headers.concat(ownHeaders(options));
}

function droppedNames(call: IncomingCall, names: HeaderNames): Set<string> {
  const dropped = new Set([
    ...hopHeaders,
    ...nominatedHeaders(call.rawHeaders),
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
  // A Connection header must not take away what the runner needs.
  for (const kept of ['host', names.promptSize, names.promptParts])
    dropped.delete(kept);
  if (call.route.models.length > 0) dropped.add(names.model);
  else dropped.delete(names.model);
  return dropped;
}

function ownHeaders(options: Options): string[] {
  const {call, names, runner, model, leftMs, lastEventId} = options;
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
