import type {
  AdmissionDecision,
  RetrySchedule,
  RetryTime,
} from '@bayspool/decisions/admission';
import type {IncomingCall} from './incoming_call.js';

interface Options {
  readonly call: IncomingCall;
  readonly admission: AdmissionDecision;
  readonly schedule: RetrySchedule;
  /** This host's time, in ms. */
  readonly now: number;
}

/**
 * Chooses when a call that was rejected for want of capacity is to be retried, and reserves capacity for it.
 *
 * @returns undefined if the decision tells neither the call's work nor the capacity
 */
export function chooseRetryTime({
  call: {priority, deadlineAt},
  admission,
  schedule,
  now,
}: Options): RetryTime | undefined {
  const {workMs, capacityPerMs} = admission;
  if (workMs === undefined || capacityPerMs === undefined) return undefined;
  const remainingMs = Math.max(0, deadlineAt - now);
  return schedule.choose({
    ...admission,
    workMs,
    capacityPerMs,
    priority,
    remainingMs,
  });
}
