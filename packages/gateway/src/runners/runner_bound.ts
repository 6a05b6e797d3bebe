import type {Runner} from './runner.js';
import type {HostShare} from './host_share.js';

/** A bound on what all hosts together send to a runner. */
export interface RunnerBound {
  /** Why a request is kept back under it, in a few words. */
  readonly reason: string;
  /** What this host may send of it; undefined while the bound does not hold for the runner. */
  computeShare(runner: Runner): HostShare | undefined;
}
