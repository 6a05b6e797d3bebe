import type {BoundStatement} from './bound_statement.js';
import type {HostShare} from './host_share.js';
import type {Runner} from './runner.js';

/** An upper bound on the calls that this host sends to a runner. */
export interface RunnerBound {
  /** Why the bound withholds a request, in a few words. */
  readonly reason: string;
  /** Why a call is rejected if the bound withholds it from all runners, in a few words. */
  readonly rejectionReason: string;
  /** Computes the share of this host; undefined while the bound does not apply to the runner. */
  computeShare(runner: Runner): HostShare | undefined;
  /** Returns what the runner stated, if the bound comes from that. */
  describeStatement(runner: Runner): BoundStatement;
}
