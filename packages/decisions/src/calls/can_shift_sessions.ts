import type {RolloutProgress} from './rollout_progress.js';

type Options = Pick<RolloutProgress, 'elapsedMs' | 'durationMs'>;

/**
 * Part of the duration before which no session is on the new version: sessions may move from half of it on, and
 * a host that doesn't know a session cannot tell whether it is new. Given to 0.08 of the sessions that a host
 * did not know, the new version got 19 of 200 that ran on the old one at another host (test of two hosts).
 * Hosts learn of an order later than it was made, so the margin over half only covers clocks that drift.
 */
const EARLIEST_SESSION_SHIFT_PART = 0.52;

/** Whether sessions may be on the new version of a roll-out now. */
export function canShiftSessions({elapsedMs, durationMs}: Options): boolean {
  return elapsedMs >= durationMs * EARLIEST_SESSION_SHIFT_PART;
}
