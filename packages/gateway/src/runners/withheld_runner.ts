import type {Runner} from './runner.js';
import type {HostShare} from './host_share.js';

/** A runner to which a bound lets this host send nothing now. */
export interface WithheldRunner {
  readonly runner: Runner;
  /** Short description of the bound. */
  readonly reason: string;
  readonly share: HostShare;
  /** Calls that this host sent within the window of the share. */
  readonly sent: number;
  /** Time until the share allows a call, in ms; Infinity if it allows none. */
  readonly waitMs: number;
}
