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
  /** The number of hosts when all are up; a disconnected host derives its share from it. */
  readonly fleetHosts: number;
}

interface WorkspaceState {
  readonly meter: RateMeter;
  bucket: TokenBucket | undefined;
  resizedAt: number;
}

const DEMAND_WINDOW_MS = 5_000;
const RESIZE_INTERVAL_MS = 500;

/** Enforces the rate limits of workspaces, divided among the hosts by recent demand. */
export class WorkspaceRateLimiter {
  private readonly stateByWorkspace = new Map<string, WorkspaceState>();

  constructor(private readonly options: Options) {}

  /** Counts a request; returns a problem when the workspace exceeds this host's share of its limit. */
  admit(workspace: string): Problem | undefined {
    const limit = this.options.store.current.workspaces[workspace]?.limit;
    if (!limit) {
      this.stateByWorkspace.delete(workspace);
      return undefined;
    }
    const state = this.getOrCreateState(workspace);
    state.meter.mark();
    const waitMs = this.getBucket(state, workspace, limit).take();
    return waitMs > 0 ? createRateLimitedProblem(limit, waitMs) : undefined;
  }

  /** Measures the recent requests per second on this host, for each workspace with a limit. */
  measureDemand(): Record<string, number> {
    return Object.fromEntries(
      [...this.stateByWorkspace].map(([id, {meter}]) => [
        id,
        Number(meter.perSecond().toFixed(1)),
      ]),
    );
  }

  private getBucket(
    state: WorkspaceState,
    workspace: string,
    limit: WorkspaceLimit,
  ): TokenBucket {
    const {clock} = this.options;
    const now = clock.now();
    if (state.bucket && now - state.resizedAt < RESIZE_INTERVAL_MS)
      return state.bucket;
    const share = this.computeShare(state, workspace);
    const perSecond = limit.requestsPerSecond * share;
    const burst = Math.max(1, limit.burst * share);
    state.resizedAt = now;
    state.bucket ??= new TokenBucket({clock, perSecond, burst});
    state.bucket.resize(perSecond, burst);
    return state.bucket;
  }

  private computeShare(state: WorkspaceState, workspace: string): number {
    const {membership, fleetHosts} = this.options;
    const ownDemand = state.meter.perSecond();
    const totalDemand = Math.max(membership.sumDemand(workspace), ownDemand);
    return computeLimitShare({
      ownDemand,
      totalDemand,
      aliveHosts: membership.listAllHosts().length,
      fleetHosts,
    });
  }

  private getOrCreateState(workspace: string): WorkspaceState {
    let state = this.stateByWorkspace.get(workspace);
    if (!state) {
      state = {
        meter: new RateMeter({
          clock: this.options.clock,
          windowMs: DEMAND_WINDOW_MS,
        }),
        bucket: undefined,
        resizedAt: -Infinity,
      };
      this.stateByWorkspace.set(workspace, state);
    }
    return state;
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
