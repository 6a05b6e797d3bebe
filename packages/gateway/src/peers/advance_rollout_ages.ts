import type {RolloutDigest} from '../rollouts/rollout_digest.js';
import {hasKnownAge} from '../rollouts/has_known_age.js';
import type {LoadDigest} from './load_digest.js';

/**
 * Returns a digest as of a later time: adds the time since it was created or received to the known ages of its
 * rollouts. Without this, an age lost up to 3.1 s at each relay, and sessions went back to the old version on the
 * next host (found by a property test of relayed ages).
 *
 * @param byMs time since the digest was created or received, in ms
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
