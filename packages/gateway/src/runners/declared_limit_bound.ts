import {
  computeHostShare,
  computeWindowQuota,
  rankByHash,
} from '@bayspool/decisions/calls';
import type {RunnerRateLimit} from '@bayspool/decisions/calls';
import type {Clock} from '@bayspool/kernel';
import type {BoundStatement} from './bound_statement.js';
import {PerRunnerCache} from './per_runner_cache.js';
import type {Runner} from './runner.js';
import type {RunnerBound} from './runner_bound.js';
import type {HostShare} from './host_share.js';

interface Options {
  readonly clock: Clock;
  /** The name of this host. */
  readonly host: string;
  /** Names of all registered hosts, reachable or not, so that all hosts use the same list; empty until they are known. */
  readonly hosts: () => readonly string[];
  /** How far the platform allows a limit to be exceeded, and in which window. */
  readonly tolerance: () => Omit<RunnerRateLimit, 'perSecond'>;
}

/** The rank of this host among the hosts that share the limit of a runner. */
interface HostRank {
  readonly hosts: number;
  readonly rank: number;
}

/** Added to the platform's window, in ms, as calls may arrive closer together than they were sent. */
const WINDOW_MARGIN_MS = 400;
/**
 * Minimum time between two calls of a host, as a fraction of the interval between evenly spaced calls. It keeps
 * a host from sending all calls of a window at once to an overloaded runner, and when the limit drops, few
 * calls sent under the larger limit fall into the window of the smaller one.
 */
const MIN_INTERVAL_RATIO = 0.5;
/** How long a rank is cached before it is computed from the current hosts again, in ms. */
const RANK_TTL_MS = 500;
/** Time without a response to any host after which a runner is sent a probe call, in ms; small limits raise it up to MAX. */
const PROBE_INTERVAL_MS = {MIN: 5_000, MAX: 10_000};
const MS_PER_SECOND = 1_000;

/**
 * Bounds the calls to runners that declare a limit. Each host sends at most its share, so that all hosts
 * together keep the limit without exchanging messages. The hosts with a share may be gone or have no calls, so
 * when no response of a runner has been seen for some time, the hosts take turns, by rank, to send it one probe
 * call. Without probes, a small limit could stay unused, and the end of a limit unnoticed, above all of a limit of 0.
 */
export class DeclaredLimitBound implements RunnerBound {
  readonly reason = 'runner has what it says it takes';
  readonly rejectionReason = 'runners have all that they take';
  private readonly ranks: PerRunnerCache<HostRank>;

  constructor(private readonly options: Options) {
    const {clock} = options;
    this.ranks = new PerRunnerCache({
      clock,
      ttlMs: RANK_TTL_MS,
      compute: runner => this.computeRank(runner),
    });
  }

  computeShare(runner: Runner): HostShare | undefined {
    const {perSecond} = runner.limit;
    if (perSecond === undefined) return undefined;
    const {ageMs} = runner.limit;
    const tolerance = this.options.tolerance();
    const rank = this.ranks.get(runner);
    const calls = computeWindowQuota({...tolerance, perSecond});
    const ownCalls = computeHostShare({...rank, calls, minUsefulCalls: 1});
    const isProbeDue = isProbeTurn(
      rank,
      ageMs,
      computeProbeIntervalMs(perSecond),
    );
    const share = Math.max(ownCalls, isProbeDue ? 1 : 0);
    const windowMs = tolerance.windowMs + WINDOW_MARGIN_MS;
    const minIntervalMs = (windowMs / Math.max(1, share)) * MIN_INTERVAL_RATIO;
    return {calls: share, windowMs, minIntervalMs};
  }

  describeStatement({limit: {perSecond, ageMs}}: Runner): BoundStatement {
    return perSecond === undefined ? {} : {perSecond, ageMs};
  }

  private computeRank({entry: {id}}: Runner): HostRank {
    const hosts = this.options.hosts();
    const rank = rankByHash(`limit|${id}`, hosts).indexOf(this.options.host);
    return {hosts: hosts.length, rank};
  }
}

function computeProbeIntervalMs(perSecond: number): number {
  const {MIN, MAX} = PROBE_INTERVAL_MS;
  return Math.min(MAX, Math.max(MIN, MS_PER_SECOND / perSecond));
}

/** Whether it is this host's turn to send a probe call to a runner that has not responded to any host for some time. */
function isProbeTurn(
  {hosts, rank}: HostRank,
  ageMs: number,
  intervalMs: number,
): boolean {
  const turn = Math.floor(ageMs / intervalMs) - 1;
  return turn >= 0 && turn % hosts === rank;
}
