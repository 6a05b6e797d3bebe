import {computeHostShare, computeWindowQuota, rankByHash} from '@bayspool/decisions/calls';
import type {RunnerRateLimit} from '@bayspool/decisions/calls';
import type {Clock} from '@bayspool/kernel';
import {KeptByRunner} from './kept_by_runner.js';
import type {Runner} from './runner.js';
import type {RunnerBound} from './runner_bound.js';
import type {RunnerShare} from './runner_share.js';

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
interface Standing {
  readonly hosts: number;
  readonly rank: number;
}

/** Added to the platform's window, as what is sent within it may arrive closer together, in ms. */
const WINDOW_MARGIN_MS = 400;
/**
 * Least time between two calls of a host, in parts of an even spread: a runner in need is sent no window's calls at once, and a smaller
 * limit finds little of what was sent under a larger one.
 */
const GAP_PART = 0.5;
/** How long a standing is kept before hosts are looked at again, in ms. */
const STANDING_KEPT_MS = 500;
/** Pause after which a runner of which nobody has heard is asked again, in ms: at least, and at most for small limits. */
const LOOK_PAUSE_MS = {LEAST: 5_000, MOST: 10_000};
const MS_PER_SECOND = 1_000;

/**
 * What runners say they take. Each host sends its share and no more, so that the sum holds without a message. Hosts with a share may
 * be gone or have no calls: once nobody has heard of a runner for a time, the hosts send it a call in turn, by rank.
 * So small limits are used as well, and the end of a limit, even of 0, is noticed.
 */
export class LimitBound implements RunnerBound {
  readonly reason = 'runner has what it says it takes';
  private readonly standings: KeptByRunner<Standing>;

  constructor(private readonly options: Options) {
    const {clock} = options;
    this.standings = new KeptByRunner({
      clock,
      keptMs: STANDING_KEPT_MS,
      find: runner => this.findStanding(runner),
    });
  }

  shareOf(runner: Runner): RunnerShare | undefined {
    const {perSecond} = runner.limit;
    if (perSecond === undefined) return undefined;
    const {ageMs} = runner.limit;
    const tolerance = this.options.tolerance();
    const standing = this.standings.of(runner);
    const calls = computeWindowQuota({...tolerance, perSecond});
    const own = computeHostShare({...standing, calls, minUsefulCalls: 1});
    const isDue = isTurn(standing, ageMs, lookPauseMs(perSecond));
    const share = Math.max(own, isDue ? 1 : 0);
    const windowMs = tolerance.windowMs + WINDOW_MARGIN_MS;
    const gapMs = (windowMs / Math.max(1, share)) * GAP_PART;
    return {calls: share, windowMs, gapMs};
  }

  private findStanding({entry: {id}}: Runner): Standing {
    const hosts = this.options.hosts();
    const rank = rankByHash(`limit|${id}`, hosts).indexOf(this.options.host);
    return {hosts: hosts.length, rank};
  }
}

function lookPauseMs(perSecond: number): number {
  const {LEAST, MOST} = LOOK_PAUSE_MS;
  return Math.min(MOST, Math.max(LEAST, MS_PER_SECOND / perSecond));
}

/** Whether it is this host's turn to ask a runner that nobody has heard of for a time. */
function isTurn(
  {hosts, rank}: Standing,
  ageMs: number,
  pauseMs: number,
): boolean {
  const turn = Math.floor(ageMs / pauseMs) - 1;
  return turn >= 0 && turn % hosts === rank;
}
