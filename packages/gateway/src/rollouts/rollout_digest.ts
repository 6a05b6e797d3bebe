import type {RolloutAge} from './rollout_age.js';
import type {ShareSteps} from './share_steps.js';

/** Counts by cell: ended, failed, slow. */
type Cells = Record<string, readonly [number, number, number]>;

/** What hosts tell each other of a roll-out. */
export interface RolloutDigest extends RolloutAge {
  /** Which order is meant. */
  readonly offset: number;
  /** Whether some host judged the new version bad. */
  readonly isBad: boolean;
  /** The steps of the share of sessions that the new version gets; hosts of an earlier version tell none. */
  readonly shares?: ShareSteps;
  /** Requests that still run on the old version. */
  readonly oldRunning: number;
  /** Attempts at the new version so far, and at the others; hosts of an earlier version tell none. */
  readonly freshSent?: number;
  readonly oldSent?: number;
  readonly fresh: Cells;
  readonly old: Cells;
}
