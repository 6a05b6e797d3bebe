import {computeColdRunnerShare} from '@bayspool/decisions/calls';
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
  /** Names of the hosts registered in a place, reachable or not, so that all hosts use the same list. */
  readonly hostsOf: (place: string) => readonly string[];
  /** Names of all registered hosts. */
  readonly allHosts: () => readonly string[];
  /** Calls that cold runners of a service can take; undefined if the platform sets no bound. */
  readonly limitsOf: (service: string) => RunnerRateLimit | undefined;
}

/**
 * Window in which calls to a cold runner are counted, in ms: the one second of the bound, plus the time by
 * which arrivals at the runner may shift against the times of sending.
 */
const WINDOW_MS = 1_100;
/** How long a share is cached before it is computed from the current hosts again, in ms. */
const SHARE_TTL_MS = 500;

/** Bounds the calls to runners that have just started and are still slow. */
export class ColdStartBound implements RunnerBound {
  readonly reason = 'cold runner has its share';
  readonly rejectionReason = 'runners have all that they take';
  private readonly shares: PerRunnerCache<number>;

  constructor(private readonly options: Options) {
    const {clock} = options;
    this.shares = new PerRunnerCache({
      clock,
      ttlMs: SHARE_TTL_MS,
      compute: runner => this.computeCalls(runner),
    });
  }

  computeShare(runner: Runner): HostShare | undefined {
    if (!runner.isCold) return undefined;
    // Checked outside the cache, so that a bound that is set or removed applies at once.
    if (!this.options.limitsOf(runner.entry.service)) return undefined;
    return {
      calls: this.shares.get(runner),
      windowMs: WINDOW_MS,
      minIntervalMs: 0,
    };
  }

  describeStatement(): BoundStatement {
    return {};
  }

  private computeCalls({entry: {id, place, service}}: Runner): number {
    const {host, hostsOf, allHosts, limitsOf} = this.options;
    const limits = limitsOf(service);
    if (!limits) return Infinity;
    // Hosts in the place of the runner have the shortest path to it, and most calls stay in their place.
    const localHosts = hostsOf(place);
    const hosts = localHosts.length > 0 ? localHosts : allHosts();
    return computeColdRunnerShare({runner: id, host, hosts, limits});
  }
}
