import type {OutcomeCounts} from './outcome_counts.js';
import type {RolloutAge} from './rollout_age.js';
import type {ShareSteps} from './share_steps.js';
import type {TimeStrata} from './time_strata.js';

/** Counts of attempts by cell. */
type Cells = Record<string, OutcomeCounts>;

/** State of a rollout that hosts exchange; `fresh` stands for the new version. */
export interface RolloutDigest extends RolloutAge {
  /** Offset of the order in its topic, which identifies the rollout. */
  readonly offset: number;
  /** Whether a host found the new version bad. */
  readonly isBad: boolean;
  /** Steps of the new version's share of sessions; absent in digests from hosts that run an earlier release. */
  readonly shares?: ShareSteps;
  /** Requests still running on the old version. */
  readonly oldRunning: number;
  /** Attempts sent to the new version and to the others so far; absent in digests from hosts that run an earlier release. */
  readonly freshSent?: number;
  readonly oldSent?: number;
  /** Whether a host did not see the order arrive, so that counts of an earlier process of it may be missing; absent if none. */
  readonly hasLostCounts?: boolean;
  readonly fresh: Cells;
  readonly old: Cells;
  /** Times to the first byte; absent in digests from hosts that run an earlier release. */
  readonly freshTimes?: TimeStrata;
  readonly oldTimes?: TimeStrata;
}
