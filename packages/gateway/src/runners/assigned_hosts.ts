import {rankByHash} from '@bayspool/decisions/calls';
import type {Clock} from '@bayspool/kernel';
import {KeptByRunner} from './kept_by_runner.js';
import type {Runner} from './runner.js';

interface Options {
  readonly clock: Clock;
  /** The name of this host. */
  readonly host: string;
  /** Names of the hosts entered in a place. */
  readonly hostsOf: (place: string) => readonly string[];
}

/** Hosts that look at a runner first: few, so that each of them knows a good part of its load at once. */
const HOSTS_A_RUNNER = 5;
/** How long it is kept before hosts are looked at again, in ms. */
const KEPT_MS = 5_000;

/**
 * Which hosts look at a runner first. Loads that others tell are some tenths of a second old, in which a runner of a large fleet
 * gets several requests; what a host itself has there it knows at once. Were runners drawn anew for each call, each host would
 * have next to nothing at any of them, and would choose by old loads alone, as badly as by chance.
 */
export class AssignedHosts {
  private readonly assignments: KeptByRunner<boolean>;

  constructor(private readonly options: Options) {
    const {clock} = options;
    this.assignments = new KeptByRunner({
      clock,
      keptMs: KEPT_MS,
      find: runner => this.find(runner),
    });
  }

  /** Whether this host is one of those that look at the runner first. */
  isOneFor(runner: Runner): boolean {
    return this.assignments.of(runner);
  }

  private find({entry: {id, place}}: Runner): boolean {
    const {host, hostsOf} = this.options;
    const ranked = rankByHash(`looks|${id}`, hostsOf(place));
    return ranked.slice(0, HOSTS_A_RUNNER).includes(host);
  }
}
