import type {RolloutProgress} from './rollout_progress.js';

type Options = Pick<RolloutProgress, 'elapsedMs' | 'durationMs'>;

/** Time before the limit at which a rollout ends either way, in ms: one call to a store. */
const DECISION_TIME_MS = 300;

/** Whether a rollout has to be completed or rolled back now. */
export function mustEndRollout({elapsedMs, durationMs}: Options): boolean {
  return elapsedMs >= durationMs - DECISION_TIME_MS;
}
