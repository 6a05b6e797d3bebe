import type {RunnerRateLimit} from './runner_rate_limit.js';

/** Sets of hosts that may send at once, where hosts know different ones: what two of them send stays within the bound. */
const MEMBERSHIP_VIEWS = 2;
const MS_PER_SECOND = 1_000;

/** Whole calls that the hosts of one set share out among them in each window. */
export function computeWindowQuota(bound: RunnerRateLimit): number {
  const {perSecond, overage, slack, windowMs} = bound;
  const borne = (perSecond * windowMs) / MS_PER_SECOND;
  const allowed = (borne * overage + slack) / MEMBERSHIP_VIEWS;
  return Math.floor(Math.min(borne, allowed));
}
