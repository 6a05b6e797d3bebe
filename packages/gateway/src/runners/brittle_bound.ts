import {computeHostShare, rankByHash} from '@bayspool/decisions/calls';
import type {Clock} from '@bayspool/kernel';
import type {BoundStatement} from './bound_statement.js';
import type {HostShare} from './host_share.js';
import {PerRunnerCache} from './per_runner_cache.js';
import type {Runner} from './runner.js';
import type {RunnerBound} from './runner_bound.js';

interface Options {
  readonly clock: Clock;
  /** The name of this host. */
  readonly host: string;
  /** Names of all registered hosts, reachable or not; empty until they are known. */
  readonly hosts: () => readonly string[];
}

interface HostRank {
  readonly hosts: number;
  readonly rank: number;
}

/** How long a rank is cached before it is computed from the current hosts again, in ms. */
const RANK_TTL_MS = 500;
/** Time after which a request in flight may have ended, in ms. */
const RECHECK_MS = 100;
/** Age of a statement from which a host without a share may send one request, to learn whether it still holds, in ms. */
const MIN_REFRESH_AGE_MS = 5_000;
/** That age grows with the hosts, so that all of them together send one such request in this time, in ms. */
const REFRESH_AGE_PER_HOST_MS = 1_000;
/**
 * Part of the room that may be taken whoever has a share, so that hosts without one are not shut out at low load: of
 * room that was found by use, and of room that was only assumed.
 */
const UNSHARED_PART = {FOUND: 1, ASSUMED: 0.5};

/**
 * Bounds the requests that are at runners which fail if they reject too many. Each host has a share of the room by
 * its rank. A rejection is told to the hosts that share the room, so that all of them take it to be smaller.
 */
export class BrittleBound implements RunnerBound {
  readonly reason = 'runner would fail if it rejected requests';
  readonly rejectionReason = 'runners have no room, and would fail';
  private readonly ranks: PerRunnerCache<HostRank>;

  constructor(private readonly options: Options) {
    this.ranks = new PerRunnerCache({
      clock: options.clock,
      ttlMs: RANK_TTL_MS,
      compute: runner => this.computeRank(runner),
    });
  }

  computeShare(runner: Runner): HostShare | undefined {
    const {brittleness, inFlight} = runner;
    if (brittleness.perSecond === undefined) return undefined;
    const {room, canRiskRejection, bearsFew, ageMs} = brittleness;
    const rank = this.ranks.get(runner);
    const pauseLeftMs = brittleness.computePauseLeftMs(rank.hosts);
    if (pauseLeftMs > 0) return close(pauseLeftMs);
    const share = computeHostShare({...rank, calls: room, minUsefulCalls: 1});
    const unsharedPart = bearsFew ? UNSHARED_PART.FOUND : UNSHARED_PART.ASSUMED;
    const isLoadLow =
      canRiskRejection &&
      inFlight + runner.peerLoad.running < room * unsharedPart;
    const isRefresh = inFlight === 0 && ageMs >= computeRefreshAgeMs(rank);
    const isOpen = inFlight < share || isLoadLow || isRefresh;
    return isOpen ? undefined : close(RECHECK_MS);
  }

  describeStatement({brittleness}: Runner): BoundStatement {
    const {perSecond, ageMs, room} = brittleness;
    return {brittlePerSecond: perSecond, ageMs, room};
  }

  private computeRank({entry: {id}}: Runner): HostRank {
    const hosts = this.options.hosts();
    const rank = rankByHash(`brittle|${id}`, hosts).indexOf(this.options.host);
    return {hosts: hosts.length, rank};
  }
}

function computeRefreshAgeMs({hosts}: HostRank): number {
  return Math.max(MIN_REFRESH_AGE_MS, hosts * REFRESH_AGE_PER_HOST_MS);
}

function close(reopensInMs: number): HostShare {
  return {calls: 0, windowMs: 1, minIntervalMs: 0, reopensInMs};
}
