import type {Clock} from '@bayspool/kernel';
import type {LoadDigest} from './load_digest.js';
import {mergeLoads} from './merge_loads.js';

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

/** What this host heard of the others' loads: by host inside the place, by place elsewhere. */
export class LoadBoard {
  private readonly hosts = new Map<string, Heard>();
  private readonly places = new Map<string, Heard>();

  constructor(private readonly options: Options) {}

  noteHost(name: string, digest: LoadDigest): void {
    this.hosts.set(name, {digest, at: this.options.clock.now()});
  }

  notePlace(place: string, digest: LoadDigest): void {
    this.places.set(place, {digest, at: this.options.clock.now()});
  }

  /** This host's own digest, for the others. */
  own(): LoadDigest {
    return this.options.own();
  }

  /** All others together, as this host heard. */
  others(): LoadDigest {
    return mergeLoads([...this.fresh(this.hosts), ...this.fresh(this.places)]);
  }

  /** Sums by place for a host that asks; its own part is left out. */
  placesFor(asker: string, askerPlace: string): Record<string, LoadDigest> {
    const {place} = this.options;
    const inside = this.fresh(this.hosts, asker);
    const sums: Record<string, LoadDigest> = {
      [place]: mergeLoads([this.options.own(), ...inside]),
    };
    if (askerPlace !== place) return sums;
    for (const [name, heard] of this.places)
      if (name !== place && this.isFresh(heard)) sums[name] = heard.digest;
    return sums;
  }

  private fresh(heard: Map<string, Heard>, without?: string): LoadDigest[] {
    return [...heard]
      .filter(([name, one]) => name !== without && this.isFresh(one))
      .map(([, one]) => one.digest);
  }

  private isFresh(heard: Heard): boolean {
    return this.options.clock.now() - heard.at < KEPT_MS;
  }
}
