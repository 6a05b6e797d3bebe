import {CallKind} from './call_kind.js';

/** Whether a call of this kind may be sent to a second runner after the first may have run it. */
export function isRetryable(kind: CallKind): boolean {
  return kind === CallKind.SAFE || kind === CallKind.RESUMABLE;
}
