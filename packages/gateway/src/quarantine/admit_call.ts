import type {PartQuarantine, Quarantine} from '@bayspool/decisions/calls';
import type {IncomingCall} from '../calls/incoming_call.js';
import {findHold} from './find_hold.js';
import type {QuarantineHold} from './quarantine_hold.js';

interface Options {
  readonly quarantine: Quarantine;
  readonly partQuarantine: PartQuarantine;
}

/** Returns why a call is held back; if it is not, and its request is suspect, the call is the trial of it. */
export function admitCall(
  call: IncomingCall,
  options: Options,
): QuarantineHold | undefined {
  const hold = findHold(call, options);
  if (!hold) options.quarantine.admit(call.fingerprint, call.id);
  return hold;
}
