import type {PartQuarantine, Quarantine} from '@bayspool/decisions/calls';
import type {IncomingCall} from '../calls/incoming_call.js';
import {OutcomeKind} from '../calls/outcome_kind.js';
import {findHold} from './find_hold.js';

interface Options {
  readonly quarantine: Quarantine;
  readonly partQuarantine: PartQuarantine;
}

/** Whether a call is held back from a further attempt. A trial goes on until a runner may have crashed under it. */
export function isRetryHeld(
  call: IncomingCall,
  lastOutcome: OutcomeKind,
  options: Options,
): boolean {
  const isOnTrial = options.quarantine.isOnTrial(call.fingerprint, call.id);
  if (isOnTrial && lastOutcome !== OutcomeKind.BROKEN) return false;
  return findHold(call, options) !== undefined;
}
