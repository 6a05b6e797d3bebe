import type {RolloutDigest} from '../rollouts/rollout_digest.js';
import {hasKnownAge} from '../rollouts/has_known_age.js';
import type {LoadDigest} from './load_digest.js';

/**
 * What a digest says some time after it was heard or made: the ages of roll-outs count on. Told as they
 * were, an age lost up to 3.1 s at each hand-over, and sessions went back to the old version at the next host
 * (property test of hand-overs).
 *
 * @param byMs time since then, in ms
 */
export function advanceRolloutAges(
  digest: LoadDigest,
  byMs: number,
): LoadDigest {
  const services = Object.keys(digest.rollouts);
  if (services.length === 0 || byMs <= 0) return digest;
  const rollouts: Record<string, RolloutDigest> = {};
  for (const service of services) {
    const rollout = digest.rollouts[service];
    const {elapsedMs} = rollout;
    rollouts[service] = hasKnownAge(rollout)
      ? {...rollout, elapsedMs: elapsedMs + byMs}
      : rollout;
  }
  return {...digest, rollouts};
}
