import {rankByHash} from '@bayspool/decisions/calls';
import type {Clock} from '@bayspool/kernel';
import {PerRunnerCache} from './per_runner_cache.js';
import type {Runner} from './runner.js';

interface Options {
  readonly clock: Clock;
  /** The name of this host. */
  readonly host: string;
  /** Names of the hosts registered in a place. */
  readonly hostsOf: (place: string) => readonly string[];
}

/**
 * How many hosts have a runner in their subset. The number is small so that each of these hosts itself
 * causes a large part of the runner's load, which it knows without delay.
 */
const HOSTS_PER_RUNNER = 5;
/** How long a result is cached before it is computed from the current hosts again, in ms. */
const CACHE_TTL_MS = 5_000;

/**
 * The runners that this host considers for every call (deterministic subsetting). Loads reported by other
 * hosts are a few tenths of a second old, and in that time a runner of a large fleet receives several
 * requests; a host's own requests at a runner are known at once. If each call sampled all its runners anew,
 * a host would have hardly any requests at any one of them and would choose by outdated loads alone, which
 * is as bad as choosing at random.
 */
export class RunnerSubset {
  private readonly membership: PerRunnerCache<boolean>;

  constructor(private readonly options: Options) {
    const {clock} = options;
    this.membership = new PerRunnerCache({
      clock,
      ttlMs: CACHE_TTL_MS,
      compute: runner => this.computeMembership(runner),
    });
  }

  /** Whether the runner is in the subset of this host. */
  includes(runner: Runner): boolean {
    return this.membership.get(runner);
  }

  private computeMembership({entry: {id, place}}: Runner): boolean {
    const {host, hostsOf} = this.options;
    const ranked = rankByHash(`looks|${id}`, hostsOf(place));
    return ranked.slice(0, HOSTS_PER_RUNNER).includes(host);
  }
}
