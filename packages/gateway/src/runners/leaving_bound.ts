import type {BoundStatement} from './bound_statement.js';
import type {HostShare} from './host_share.js';
import type {Runner} from './runner.js';
import type {RunnerBound} from './runner_bound.js';

/** No calls at all. */
const NO_SHARE: HostShare = {calls: 0, windowMs: 1, minIntervalMs: 0};

/** Sends nothing to runners that state that they are leaving, whatever their entries say. */
export class LeavingBound implements RunnerBound {
  readonly reason = 'runner says that it leaves';
  readonly rejectionReason = 'runners say that they leave';

  computeShare({availability}: Runner): HostShare | undefined {
    return availability.isLeaving ? NO_SHARE : undefined;
  }

  describeStatement({availability}: Runner): BoundStatement {
    return {ageMs: availability.leavingAgeMs};
  }
}
