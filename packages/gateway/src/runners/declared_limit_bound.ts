import {
  computeHostShare,
  computeWindowQuota,
  rankByHash,
} from '@bayspool/decisions/calls';
import type {RunnerRateLimit} from '@bayspool/decisions/calls';
import type {Clock} from '@bayspool/kernel';
import {PerRunnerCache} from './per_runner_cache.js';
import type {Runner} from './runner.js';
import type {RunnerBound} from './runner_bound.js';
import type {HostShare} from './host_share.js';

interface Options {
  readonly clock: Clock;
  /** The name of this host. */
  readonly host: string;
  /** Names of all hosts entered, whether they answer or not, so that all hosts agree on them; none while they are not known. */
  readonly hosts: () => readonly string[];
  /** What the platform allows over a limit, and in which window. */
  readonly tolerance: () => Omit<RunnerRateLimit, 'perSecond'>;
}

/** Where a host stands among those that share a runner's limit. */
interface HostRank {
  readonly hosts: number;
  readonly rank: number;
}

/** Added to the platform's window, as what is sent within it may arrive closer together, in ms. */
const WINDOW_MARGIN_MS = 400;
/**
 * Least time between two calls of a host, in parts of an even spread: a runner in need is sent no window's calls at once, and a smaller
 * limit finds little of what was sent under a larger one.
 */
const MIN_INTERVAL_RATIO = 0.5;
/** How long a standing is kept before hosts are looked at again, in ms. */
const RANK_TTL_MS = 500;
/** Pause after which a runner of which nobody has heard is asked again, in ms: at least, and at most for small limits. */
const PROBE_INTERVAL_MS = {MIN: 5_000, MAX: 10_000};
const MS_PER_SECOND = 1_000;

/**
 * What runners say they take. Each host sends its share and no more, so that the sum holds without a message. Hosts with a share may
 * be gone or have no calls: once nobody has heard of a runner for a time, the hosts send it a call in turn, by rank.
 * So small limits are used as well, and the end of a limit, even of 0, is noticed.
 */
export class DeclaredLimitBound implements RunnerBound {
  readonly reason = 'runner has what it says it takes';
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
    const standing = this.ranks.get(runner);
    const calls = computeWindowQuota({...tolerance, perSecond});
    const own = computeHostShare({...standing, calls, minUsefulCalls: 1});
    const isDue = isProbeTurn(
      standing,
      ageMs,
      computeProbeIntervalMs(perSecond),
    );
    const share = Math.max(own, isDue ? 1 : 0);
    const windowMs = tolerance.windowMs + WINDOW_MARGIN_MS;
    const gapMs = (windowMs / Math.max(1, share)) * MIN_INTERVAL_RATIO;
    return {calls: share, windowMs, minIntervalMs: gapMs};
  }

  private computeRank({entry: {id}}: Runner): HostRank {
    const hosts = this.options.hosts();
    const rank = rankByHash(`limit|${id}`, hosts).indexOf(this.options.host);
    return {hosts: hosts.length, rank};
  }
}

function computeProbeIntervalMs(perSecond: number): number {
  const {MIN: LEAST, MAX: MOST} = PROBE_INTERVAL_MS;
  return Math.min(MOST, Math.max(LEAST, MS_PER_SECOND / perSecond));
}

/** Whether it is this host's turn to ask a runner that nobody has heard of for a time. */
function isProbeTurn(
  {hosts, rank}: HostRank,
  ageMs: number,
  pauseMs: number,
): boolean {
  const turn = Math.floor(ageMs / pauseMs) - 1;
  return turn >= 0 && turn % hosts === rank;
}
