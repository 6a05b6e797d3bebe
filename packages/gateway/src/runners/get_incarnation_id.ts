import type {RunnerEntry} from '@bayspool/decisions/calls';

/** Digits of the start's time, to base 36: two starts under one id within seconds differ in them. */
const START_TIME_DIGITS = 5;

/**
 * Names one start of a runner among hosts. A runner may come back under its id, and what hosts tell of the start
 * before is not about it.
 */
export function getIncarnationId({id, bornAt}: RunnerEntry): string {
  if (bornAt === undefined) return id;
  return `${id}~${bornAt.toString(36).slice(-START_TIME_DIGITS)}`;
}
