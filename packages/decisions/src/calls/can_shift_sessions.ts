import type {RolloutProgress} from './rollout_progress.js';

type Options = Pick<RolloutProgress, 'elapsedMs' | 'durationMs'>;

/**
 * Part of the duration before which no session is sent to the new version. Sessions may move after
 * half of it, and a host that does not know a session cannot tell whether it is new. In a test with
 * two hosts, sending a share of 0.08 of the sessions unknown to a host to the new version before
 * that also moved 19 of 200 sessions that ran on the old version at the other host. Hosts learn of
 * an order after it was made, so the margin over one half only has to cover clock drift.
 */
const EARLIEST_SESSION_SHIFT_PART = 0.52;

/** Whether sessions may be sent to the new version of a rollout now. */
export function canShiftSessions({elapsedMs, durationMs}: Options): boolean {
  return elapsedMs >= durationMs * EARLIEST_SESSION_SHIFT_PART;
}
