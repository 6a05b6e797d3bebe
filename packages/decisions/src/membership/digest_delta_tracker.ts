import type {Clock} from '@bayspool/kernel';
import {hashDigestPart} from './hash_digest_part.js';
import type {PlaceDigest} from './place_digest.js';
import type {PlaceDigestDelta} from './place_digest_delta.js';

interface Options {
  readonly clock: Clock;
  /** A digest that is younger than the last one passed on by less than this is not passed on again, in ms. */
  readonly minIntervalMs: number;
  /** The same for a digest that differs in its age only. */
  readonly ageOnlyIntervalMs: number;
}

interface SentDigest {
  readonly hostsHash: string;
  readonly sumsHash: string;
  /** When the digest was made, on the local clock. */
  readonly madeAt: number;
}

/** Remembers what each peer has of each place, and sends only what is new to it. */
export class DigestDeltaTracker {
  private readonly sentByPeer = new Map<string, Map<string, SentDigest>>();

  constructor(private readonly options: Options) {}

  /** The news for a receiver: of places other than its own, and only when it is time. */
  createDeltas(
    receiver: string,
    receiverPlace: string | undefined,
    digests: readonly PlaceDigest[],
  ): PlaceDigestDelta[] {
    return digests
      .filter(digest => digest.place !== receiverPlace)
      .map(digest => this.createDelta(receiver, digest))
      .filter(news => news !== undefined);
  }

  /** The peer sent this news itself, so it has it. */
  recordReceived(sender: string, news: PlaceDigestDelta): void {
    const {place, hostsHash, sumsHash, ageMs} = news;
    this.getSentDigests(sender).set(place, {
      hostsHash,
      sumsHash,
      madeAt: this.options.clock.now() - ageMs,
    });
  }

  /** What was sent did not arrive, or the peer began anew: it is taken to have nothing. */
  forgetPeer(peer: string): void {
    this.sentByPeer.delete(peer);
  }

  /** The peer lacks the parts of a place that it only got by name. */
  forgetPlace(peer: string, place: string): void {
    this.getSentDigests(peer).delete(place);
  }

  private createDelta(
    receiver: string,
    digest: PlaceDigest,
  ): PlaceDigestDelta | undefined {
    const {clock, minIntervalMs: pauseMs} = this.options;
    const {place, ageMs, hosts, sums} = digest;
    const madeAt = clock.now() - ageMs;
    const last = this.getSentDigests(receiver).get(place);
    if (last && madeAt - last.madeAt < pauseMs) return undefined;
    const hostsHash = hashDigestPart(hosts);
    const sumsHash = hashDigestPart(sums);
    const isSame = last?.hostsHash === hostsHash && last.sumsHash === sumsHash;
    if (isSame && madeAt - last.madeAt < this.options.ageOnlyIntervalMs)
      return undefined;
    this.getSentDigests(receiver).set(place, {hostsHash, sumsHash, madeAt});
    return {
      place,
      ageMs: Math.max(0, Math.round(ageMs)),
      hostsHash,
      sumsHash,
      ...(last?.hostsHash === hostsHash ? {} : {hosts: [...hosts]}),
      ...(last?.sumsHash === sumsHash ? {} : {sums}),
    };
  }

  private getSentDigests(peer: string): Map<string, SentDigest> {
    let places = this.sentByPeer.get(peer);
    if (!places) {
      places = new Map();
      this.sentByPeer.set(peer, places);
    }
    return places;
  }
}
