import type {Clock} from '@bayspool/kernel';
import type {LoadDigest} from './load_digest.js';
import {advanceRolloutAges} from './advance_rollout_ages.js';
import {CachedLoadSum} from './cached_load_sum.js';
import {mergeLoadDigests} from './merge_load_digests.js';
import {subtractLoadDigest} from './subtract_load_digest.js';

interface Options {
  readonly clock: Clock;
  readonly place: string;
  /** Creates the digest of this host's own load and observations. */
  readonly createOwnDigest: () => LoadDigest;
}

interface ReceivedDigest {
  readonly digest: LoadDigest;
  readonly at: number;
}

/** How long a received digest stays valid, in ms: a few sync rounds. */
const DIGEST_TTL_MS = 3_000;

/** Key of the sum over all other hosts. */
const ALL_OTHERS_KEY = '';

/** Holds the load digests received from peers: by host inside this place, by place elsewhere. */
export class LoadDigestRegistry {
  private readonly digestsByHost = new Map<string, ReceivedDigest>();
  private readonly digestsByPlace = new Map<string, ReceivedDigest>();
  private readonly placeSum: CachedLoadSum;
  private readonly fleetSum: CachedLoadSum;
  private lastReported: LoadDigest = {runners: {}, rollouts: {}};

  constructor(private readonly options: Options) {
    const {clock, createOwnDigest} = options;
    const listPlace = () => [
      createOwnDigest(),
      ...this.selectFresh(this.digestsByHost),
    ];
    const listFleet = () => [
      ...listPlace(),
      ...this.selectFresh(this.digestsByPlace),
    ];
    this.placeSum = new CachedLoadSum({clock, listDigests: listPlace});
    this.fleetSum = new CachedLoadSum({clock, listDigests: listFleet});
  }

  recordHost(name: string, digest: LoadDigest): void {
    this.digestsByHost.set(name, {digest, at: this.options.clock.now()});
  }

  recordPlace(place: string, digest: LoadDigest): void {
    this.digestsByPlace.set(place, {digest, at: this.options.clock.now()});
  }

  /** Returns this host's own digest to send to a peer, and remembers it. */
  reportOwnDigest(): LoadDigest {
    this.lastReported = this.options.createOwnDigest();
    return this.lastReported;
  }

  /**
   * Replaces all digests by the fleet-wide sum that a host of this place reported, without this host's last
   * reported digest, which that sum includes.
   */
  recordFleet(digest: LoadDigest): void {
    this.digestsByHost.clear();
    this.digestsByPlace.clear();
    this.recordHost(
      ALL_OTHERS_KEY,
      subtractLoadDigest(digest, this.lastReported),
    );
  }

  /** Returns the sum over all other hosts, as far as this host knows. */
  sumOthers(): LoadDigest {
    return mergeLoadDigests([
      ...this.selectFresh(this.digestsByHost),
      ...this.selectFresh(this.digestsByPlace),
    ]);
  }

  /**
   * Returns the sum for a host that sent a request: over the whole fleet, including the requesting host, if that
   * host is of the same place; over this place only if it is elsewhere.
   */
  sumFor(requesterPlace: string): LoadDigest {
    return requesterPlace === this.options.place
      ? this.fleetSum.get()
      : this.placeSum.get();
  }

  private selectFresh(received: Map<string, ReceivedDigest>): LoadDigest[] {
    const now = this.options.clock.now();
    return [...received.values()]
      .filter(({at}) => now - at < DIGEST_TTL_MS)
      .map(({digest, at}) => advanceRolloutAges(digest, now - at));
  }
}
