import {fingerprintPromptParts} from '@bayspool/decisions/calls';
import type {PartQuarantine, Quarantine} from '@bayspool/decisions/calls';
import type {IncomingCall} from '../calls/incoming_call.js';
import type {QuarantineHold} from './quarantine_hold.js';

interface Options {
  readonly quarantine: Quarantine;
  readonly partQuarantine: PartQuarantine;
}

/** Returns why a call is held back: its request is quarantined, or a part of its prompt; undefined if neither is. */
export function findHold(
  {fingerprint, prompt, workspace}: IncomingCall,
  {quarantine, partQuarantine}: Options,
): QuarantineHold | undefined {
  const remainingMs = quarantine.remainingMs(fingerprint);
  if (remainingMs > 0)
    return {reason: 'held back: runners end under this request', remainingMs};
  const trialWait = quarantine.askForTrial(fingerprint);
  if (trialWait && trialWait.ms > 0)
    return {
      reason:
        'held back for seconds: runners ended while they had this request',
      remainingMs: trialWait.ms,
      isBrief: trialWait.isBrief,
    };
  if (partQuarantine.isEmpty) return undefined;
  for (const part of fingerprintPromptParts(prompt, workspace)) {
    const partRemainingMs = partQuarantine.remainingMs(part);
    if (partRemainingMs === 0) continue;
    const reason = 'held back: runners end on a part of its prompt';
    return {reason, remainingMs: partRemainingMs, part};
  }
  return undefined;
}
