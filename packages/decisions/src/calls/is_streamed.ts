import {CallKind} from './call_kind.js';

/** Whether the answer to a call of this kind is a series of events. */
export function isStreamed(kind: CallKind): boolean {
  return kind === CallKind.STREAM || kind === CallKind.RESUMABLE;
}
