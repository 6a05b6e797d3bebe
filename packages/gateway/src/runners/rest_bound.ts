import type {BoundStatement} from './bound_statement.js';
import type {HostShare} from './host_share.js';
import type {Runner} from './runner.js';
import type {RunnerBound} from './runner_bound.js';

/** Sends nothing to runners that asked this host for a rest, until it is over. */
export class RestBound implements RunnerBound {
  readonly reason = 'runner has asked for rest';
  readonly rejectionReason = 'runners have asked for rest';

  computeShare({availability}: Runner): HostShare | undefined {
    const {restLeftMs} = availability;
    if (restLeftMs === 0) return undefined;
    return {calls: 0, windowMs: 1, minIntervalMs: 0, reopensInMs: restLeftMs};
  }

  describeStatement({availability: {rest}}: Runner): BoundStatement {
    return rest ? {restMs: rest.forMs, ageMs: rest.ageMs} : {};
  }
}
