import type {RolloutAge} from './rollout_age.js';

/** Whether a reported age is known: a host that does not know it yet reports 0 and did not see the order arrive. */
export function hasKnownAge({elapsedMs, isSeen}: RolloutAge): boolean {
  return isSeen || elapsedMs > 0;
}
