import type {Clock} from '@bayspool/kernel';
import type {LoadDigest} from './load_digest.js';
import {advanceRolloutAges} from './advance_rollout_ages.js';
import {CachedLoadSum} from './cached_load_sum.js';
import {mergeLoadDigests} from './merge_load_digests.js';
import {subtractLoadDigest} from './subtract_load_digest.js';

interface Options {
  readonly clock: Clock;
  readonly place: string;
  /** What this host itself has and saw. */
  readonly createOwnDigest: () => LoadDigest;
}

interface ReceivedDigest {
  readonly digest: LoadDigest;
  readonly at: number;
}

/** How long a digest counts after it was heard, in ms: some rounds of the exchange. */
const DIGEST_TTL_MS = 3_000;

/** The name under which the sum over all other hosts is kept. */
const ALL_OTHERS_KEY = '';

/** What this host heard of the others' loads: by host inside the place, by place elsewhere. */
export class LoadDigestRegistry {
  private readonly digestsByHost = new Map<string, ReceivedDigest>();
  private readonly digestsByPlace = new Map<string, ReceivedDigest>();
  private readonly placeSum: CachedLoadSum;
  private readonly fleetSum: CachedLoadSum;
  private lastReported: LoadDigest = {runners: {}, rollouts: {}};

  constructor(private readonly options: Options) {
    const {clock, createOwnDigest: own} = options;
    const inside = () => [own(), ...this.selectFresh(this.digestsByHost)];
    const all = () => [...inside(), ...this.selectFresh(this.digestsByPlace)];
    this.placeSum = new CachedLoadSum({clock, listDigests: inside});
    this.fleetSum = new CachedLoadSum({clock, listDigests: all});
  }

  recordHost(name: string, digest: LoadDigest): void {
    this.digestsByHost.set(name, {digest, at: this.options.clock.now()});
  }

  recordPlace(place: string, digest: LoadDigest): void {
    this.digestsByPlace.set(place, {digest, at: this.options.clock.now()});
  }

  /** This host's own digest, for the others. */
  own(): LoadDigest {
    this.lastReported = this.options.createOwnDigest();
    return this.lastReported;
  }

  /** Notes the sum over all hosts as one of this place told it; it holds what this host sent. */
  recordFleet(digest: LoadDigest): void {
    this.digestsByHost.clear();
    this.digestsByPlace.clear();
    this.recordHost(
      ALL_OTHERS_KEY,
      subtractLoadDigest(digest, this.lastReported),
    );
  }

  /** All others together, as this host heard. */
  sumOthers(): LoadDigest {
    return mergeLoadDigests([
      ...this.selectFresh(this.digestsByHost),
      ...this.selectFresh(this.digestsByPlace),
    ]);
  }

  /**
   * The sum for a host that asks: over all hosts for one of the same place, in which its own part is,
   * and over this place for one elsewhere.
   */
  sumFor(askerPlace: string): LoadDigest {
    return askerPlace === this.options.place
      ? this.fleetSum.get()
      : this.placeSum.get();
  }

  private selectFresh(heard: Map<string, ReceivedDigest>): LoadDigest[] {
    const now = this.options.clock.now();
    return [...heard.values()]
      .filter(({at}) => now - at < DIGEST_TTL_MS)
      .map(({digest, at}) => advanceRolloutAges(digest, now - at));
  }
}
