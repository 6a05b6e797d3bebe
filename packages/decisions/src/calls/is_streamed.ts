import {CallKind} from './call_kind.js';

/** Whether the response to a call of this kind is a stream of events. */
export function isStreamed(kind: CallKind): boolean {
  return kind === CallKind.STREAM || kind === CallKind.RESUMABLE;
}
