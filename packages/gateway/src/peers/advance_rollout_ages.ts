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
  const rollouts = Object.entries(digest.rollouts);
  if (rollouts.length === 0 || byMs <= 0) return digest;
  const advanced = rollouts.map(
    ([service, rollout]) => [service, advanceAge(rollout, byMs)] as const,
  );
  return {...digest, rollouts: Object.fromEntries(advanced)};
}

function advanceAge(rollout: RolloutDigest, byMs: number): RolloutDigest {
  if (!hasKnownAge(rollout)) return rollout;
  return {...rollout, elapsedMs: rollout.elapsedMs + byMs};
}
