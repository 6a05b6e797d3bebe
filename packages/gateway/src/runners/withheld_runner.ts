import type {HostShare} from './host_share.js';
import type {Runner} from './runner.js';
import type {RunnerBound} from './runner_bound.js';

/** A runner to which a bound lets this host send nothing now. */
export interface WithheldRunner {
  readonly runner: Runner;
  readonly bound: RunnerBound;
  readonly share: HostShare;
  /** Calls that this host sent within the window of the share. */
  readonly sent: number;
  /** Time until the share allows a call, in ms; Infinity if it allows none. */
  readonly waitMs: number;
}
