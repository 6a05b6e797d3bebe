import type {Runner} from './runner.js';
import type {HostShare} from './host_share.js';

/** An upper bound on the calls that all hosts together send to a runner. */
export interface RunnerBound {
  /** Why the bound withholds a request, in a few words. */
  readonly reason: string;
  /** Computes the share of this host; undefined while the bound does not apply to the runner. */
  computeShare(runner: Runner): HostShare | undefined;
}
