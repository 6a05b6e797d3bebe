import type {RunnerRateLimit} from './runner_rate_limit.js';

/**
 * Number of sets of hosts that may send at the same time while hosts disagree on the membership.
 * The quotas of two sets together stay within the bound.
 */
const MEMBERSHIP_VIEWS = 2;
const MS_PER_SECOND = 1_000;

/** Computes how many whole calls the hosts of one set share per window. */
export function computeWindowQuota(bound: RunnerRateLimit): number {
  const {perSecond, overage, slack, windowMs} = bound;
  const capacity = (perSecond * windowMs) / MS_PER_SECOND;
  const allowed = (capacity * overage + slack) / MEMBERSHIP_VIEWS;
  return Math.floor(Math.min(capacity, allowed));
}
