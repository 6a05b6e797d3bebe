import type {Runner} from './runner.js';
import type {HostShare} from './host_share.js';

/** A runner to which this host may send nothing now, and why. */
export interface WithheldRunner {
  readonly runner: Runner;
  /** The bound that holds, in a few words. */
  readonly reason: string;
  readonly share: HostShare;
  /** Calls that this host sent within the window. */
  readonly sent: number;
  /** Time until the share has room, in ms; Infinity if this host has none. */
  readonly waitMs: number;
}
