import {
  computeLimitShare,
  RateMeter,
  TokenBucket,
  type WorkspaceLimit,
  type Membership,
} from '@bayspool/decisions';
import {Problem, ProblemKind, type Clock} from '@bayspool/kernel';
import type {ConfigurationStore} from '../configuration/configuration_store.js';

interface Options {
  readonly clock: Clock;
  readonly store: ConfigurationStore;
  readonly membership: Membership;
  /** The fleet's size when every host is up: the base of the share of a host that is cut off. */
  readonly fleetHosts: number;
}

interface WorkspaceState {
  readonly meter: RateMeter;
  bucket: TokenBucket | undefined;
  resizedAt: number;
}

const DEMAND_WINDOW_MS = 5_000;
const RESIZE_INTERVAL_MS = 500;

/** Workspaces' limits, shared over the hosts by recent demand. */
export class WorkspaceRateLimiter {
  private readonly stateByWorkspace = new Map<string, WorkspaceState>();

  constructor(private readonly options: Options) {}

  /** Counts a request; a problem when the workspace is over this host's part of its limit. */
  admit(workspace: string): Problem | undefined {
    const limit = this.options.store.current.workspaces[workspace]?.limit;
    if (!limit) {
      this.stateByWorkspace.delete(workspace);
      return undefined;
    }
    const gauge = this.getOrCreateState(workspace);
    gauge.meter.mark();
    const waitMs = this.getBucket(gauge, workspace, limit).take();
    return waitMs > 0 ? createRateLimitedProblem(limit, waitMs) : undefined;
  }

  /** Recent requests a second at this host, by workspace with a limit. */
  measureDemand(): Record<string, number> {
    return Object.fromEntries(
      [...this.stateByWorkspace].map(([id, {meter}]) => [
        id,
        Number(meter.perSecond().toFixed(1)),
      ]),
    );
  }

  private getBucket(
    gauge: WorkspaceState,
    workspace: string,
    limit: WorkspaceLimit,
  ): TokenBucket {
    const {clock} = this.options;
    const now = clock.now();
    if (gauge.bucket && now - gauge.resizedAt < RESIZE_INTERVAL_MS)
      return gauge.bucket;
    const part = this.computeShare(gauge, workspace);
    const perSecond = limit.requestsPerSecond * part;
    const burst = Math.max(1, limit.burst * part);
    gauge.resizedAt = now;
    gauge.bucket ??= new TokenBucket({clock, perSecond, burst});
    gauge.bucket.resize(perSecond, burst);
    return gauge.bucket;
  }

  private computeShare(gauge: WorkspaceState, workspace: string): number {
    const {membership, fleetHosts: fleet} = this.options;
    const ownDemand = gauge.meter.perSecond();
    const totalDemand = Math.max(membership.sumDemand(workspace), ownDemand);
    return computeLimitShare({
      ownDemand,
      totalDemand,
      aliveHosts: membership.listAllHosts().length,
      fleetHosts: fleet,
    });
  }

  private getOrCreateState(workspace: string): WorkspaceState {
    let gauge = this.stateByWorkspace.get(workspace);
    if (!gauge) {
      gauge = {
        meter: new RateMeter({
          clock: this.options.clock,
          windowMs: DEMAND_WINDOW_MS,
        }),
        bucket: undefined,
        resizedAt: -Infinity,
      };
      this.stateByWorkspace.set(workspace, gauge);
    }
    return gauge;
  }
}

function createRateLimitedProblem(
  limit: WorkspaceLimit,
  waitMs: number,
): Problem {
  return new Problem({
    kind: ProblemKind.LIMITED,
    what: `the workspace is over its limit of ${limit.requestsPerSecond} requests/s`,
    remedy:
      'come back after the time in Retry-After, or ask the operator for a higher limit',
    retryAfterMs: waitMs,
  });
}
