import type {RolloutAge} from './rollout_age.js';

/** Counts by cell: ended, failed, slow. */
type Cells = Record<string, readonly [number, number, number]>;

/** What hosts tell each other of a roll-out. */
export interface RolloutDigest extends RolloutAge {
  /** Which order is meant. */
  readonly offset: number;
  /** Whether some host judged the new version bad. */
  readonly isBad: boolean;
  /** Requests that still run on the old version. */
  readonly oldRunning: number;
  readonly fresh: Cells;
  readonly old: Cells;
}
