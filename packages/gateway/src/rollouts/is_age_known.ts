import type {RolloutAge} from './rollout_age.js';

/** Whether an age says anything: a host that does not know it yet tells 0, and did not see the order. */
export function isAgeKnown({elapsedMs, isSeen}: RolloutAge): boolean {
  return isSeen || elapsedMs > 0;
}
