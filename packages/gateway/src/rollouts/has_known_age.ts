import type {RolloutAge} from './rollout_age.js';

/** Whether what a host told says an age: one that does not know it yet tells 0, and did not see the order. */
export function hasKnownAge({elapsedMs, isSeen}: RolloutAge): boolean {
  return isSeen || elapsedMs > 0;
}
