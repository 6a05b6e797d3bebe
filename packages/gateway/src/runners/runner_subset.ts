import {rankByHash} from '@bayspool/decisions/calls';
import type {Clock} from '@bayspool/kernel';
import {PerRunnerCache} from './per_runner_cache.js';
import type {Runner} from './runner.js';

interface Options {
  readonly clock: Clock;
  /** The name of this host. */
  readonly host: string;
  /** Names of the hosts entered in a place. */
  readonly hostsOf: (place: string) => readonly string[];
}

/** Hosts that look at a runner first: few, so that each of them knows a good part of its load at once. */
const HOSTS_PER_RUNNER = 5;
/** How long it is kept before hosts are looked at again, in ms. */
const CACHE_TTL_MS = 5_000;

/**
 * Which hosts look at a runner first. Loads that others tell are some tenths of a second old, in which a runner of a large fleet
 * gets several requests; what a host itself has there it knows at once. Were runners drawn anew for each call, each host would
 * have next to nothing at any of them, and would choose by old loads alone, as badly as by chance.
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

  /** Whether this host is one of those that look at the runner first. */
  includes(runner: Runner): boolean {
    return this.membership.get(runner);
  }

  private computeMembership({entry: {id, place}}: Runner): boolean {
    const {host, hostsOf} = this.options;
    const ranked = rankByHash(`looks|${id}`, hostsOf(place));
    return ranked.slice(0, HOSTS_PER_RUNNER).includes(host);
  }
}
