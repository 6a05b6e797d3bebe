import type {RunnerEntry} from '@bayspool/decisions/calls';

/** Digits of the start time, in base 36: enough to tell apart two starts under one id within seconds. */
const START_TIME_DIGITS = 5;

/**
 * Returns the id that hosts use among each other for one incarnation of a runner. A runner may restart under
 * its id, and what other hosts report of the incarnation before does not apply to the new one.
 */
export function getIncarnationId({id, bornAt}: RunnerEntry): string {
  if (bornAt === undefined) return id;
  return `${id}~${bornAt.toString(36).slice(-START_TIME_DIGITS)}`;
}
