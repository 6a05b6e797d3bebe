import type {Clock} from '@bayspool/kernel';
import type {LoadDigest} from './load_digest.js';
import {countOn} from './count_on.js';
import {KeptSum} from './kept_sum.js';
import {mergeLoads} from './merge_loads.js';
import {takeOff} from './take_off.js';

interface Options {
  readonly clock: Clock;
  readonly place: string;
  /** What this host itself has and saw. */
  readonly own: () => LoadDigest;
}

interface Heard {
  readonly digest: LoadDigest;
  readonly at: number;
}

/** How long a digest counts after it was heard, in ms: some rounds of the exchange. */
const KEPT_MS = 3_000;

/** The name under which the sum over all other hosts is kept. */
const ALL_OTHERS = '';

/** What this host heard of the others' loads: by host inside the place, by place elsewhere. */
export class LoadBoard {
  private readonly hosts = new Map<string, Heard>();
  private readonly places = new Map<string, Heard>();
  private readonly sumOfPlace: KeptSum;
  private readonly sumOfAll: KeptSum;
  private sent: LoadDigest = {runners: {}, rollouts: {}};

  constructor(private readonly options: Options) {
    const {clock, own} = options;
    const inside = () => [own(), ...this.fresh(this.hosts)];
    const all = () => [...inside(), ...this.fresh(this.places)];
    this.sumOfPlace = new KeptSum({clock, parts: inside});
    this.sumOfAll = new KeptSum({clock, parts: all});
  }

  noteHost(name: string, digest: LoadDigest): void {
    this.hosts.set(name, {digest, at: this.options.clock.now()});
  }

  notePlace(place: string, digest: LoadDigest): void {
    this.places.set(place, {digest, at: this.options.clock.now()});
  }

  /** This host's own digest, for the others. */
  own(): LoadDigest {
    this.sent = this.options.own();
    return this.sent;
  }

  /** Notes the sum over all hosts as one of this place told it; it holds what this host sent. */
  noteAll(digest: LoadDigest): void {
    this.hosts.clear();
    this.places.clear();
    this.noteHost(ALL_OTHERS, takeOff(digest, this.sent));
  }

  /** All others together, as this host heard. */
  others(): LoadDigest {
    return mergeLoads([...this.fresh(this.hosts), ...this.fresh(this.places)]);
  }

  /**
   * The sum for a host that asks: over all hosts for one of the same place, in which its own part is,
   * and over this place for one elsewhere.
   */
  sumFor(askerPlace: string): LoadDigest {
    return askerPlace === this.options.place
      ? this.sumOfAll.get()
      : this.sumOfPlace.get();
  }

  private fresh(heard: Map<string, Heard>): LoadDigest[] {
    const now = this.options.clock.now();
    return [...heard.values()]
      .filter(({at}) => now - at < KEPT_MS)
      .map(({digest, at}) => countOn(digest, now - at));
  }
}
