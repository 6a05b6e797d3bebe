import type {RolloutAge} from './rollout_age.js';

/** Chooses between two ages of one rollout: an age measured by a host that saw the order arrive wins, else the longer age. */
export function selectAge(a: RolloutAge, b: RolloutAge): RolloutAge {
  if (a.isSeen !== b.isSeen) return a.isSeen ? a : b;
  return a.elapsedMs >= b.elapsedMs ? a : b;
}
