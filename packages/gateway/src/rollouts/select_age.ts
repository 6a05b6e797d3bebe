import type {RolloutAge} from './rollout_age.js';

/** Which of two ages of one roll-out holds: one that a host saw, and of two alike the longer one. */
export function selectAge(a: RolloutAge, b: RolloutAge): RolloutAge {
  if (a.isSeen !== b.isSeen) return a.isSeen ? a : b;
  return a.elapsedMs >= b.elapsedMs ? a : b;
}
