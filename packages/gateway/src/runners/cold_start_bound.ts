import {computeColdRunnerShare} from '@bayspool/decisions/calls';
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
  /** Names of the hosts entered in a place, whether they answer or not, so that all hosts agree on them. */
  readonly hostsOf: (place: string) => readonly string[];
  /** Names of all hosts entered. */
  readonly allHosts: () => readonly string[];
  /** What cold runners of a service bear; undefined if the platform sets no bound. */
  readonly limitsOf: (service: string) => RunnerRateLimit | undefined;
}

/** Window over which calls to a cold runner are counted, in ms: the second of the bound, and how far arrivals shift against it. */
const WINDOW_MS = 1_100;
/** How long a share is kept before hosts are looked at again, in ms. */
const SHARE_TTL_MS = 500;

/** What runners bear that have just started and are still slow. */
export class ColdStartBound implements RunnerBound {
  readonly reason = 'cold runner has its share';
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
    // A bound that has just come into force holds at once.
    if (!this.options.limitsOf(runner.entry.service)) return undefined;
    return {
      calls: this.shares.get(runner),
      windowMs: WINDOW_MS,
      minIntervalMs: 0,
    };
  }

  private computeCalls({entry: {id, place, service}}: Runner): number {
    const {host, hostsOf, allHosts, limitsOf} = this.options;
    const limits = limitsOf(service);
    if (!limits) return Infinity;
    // Hosts of its own place reach it on the shortest way, and most calls stay in their place.
    const near = hostsOf(place);
    const hosts = near.length > 0 ? near : allHosts();
    return computeColdRunnerShare({runner: id, host, hosts, limits});
  }
}
