import type {Clock} from '@bayspool/kernel';
import {hashDigestPart} from './hash_digest_part.js';
import type {PlaceDigest} from './place_digest.js';
import type {PlaceDigestDelta} from './place_digest_delta.js';

interface Options {
  readonly clock: Clock;
  /** A digest is sent to a peer only when it is newer than the last one sent there by at least this, in ms. */
  readonly minIntervalMs: number;
  /** The same for a digest of which only the age differs. */
  readonly ageOnlyIntervalMs: number;
}

interface SentDigest {
  readonly hostsHash: string;
  readonly sumsHash: string;
  /** Local monotonic time at which the digest was created, in ms. */
  readonly madeAt: number;
}

/** Tracks which digests each peer has, so that only the parts that changed are sent to it. */
export class DigestDeltaTracker {
  private readonly sentByPeer = new Map<string, Map<string, SentDigest>>();

  constructor(private readonly options: Options) {}

  /** Creates the deltas for a receiver: for places other than its own, whose digests are due. */
  createDeltas(
    receiver: string,
    receiverPlace: string | undefined,
    digests: readonly PlaceDigest[],
  ): PlaceDigestDelta[] {
    return digests
      .filter(digest => digest.place !== receiverPlace)
      .map(digest => this.createDelta(receiver, digest))
      .filter(delta => delta !== undefined);
  }

  /** Records a delta that the peer sent itself, so that it is not sent back. */
  recordReceived(sender: string, delta: PlaceDigestDelta): void {
    const {place, hostsHash, sumsHash, ageMs} = delta;
    this.getSentDigests(sender).set(place, {
      hostsHash,
      sumsHash,
      madeAt: this.options.clock.now() - ageMs,
    });
  }

  /** Assumes that the peer has no digests, since a message to it was lost or it was restarted. */
  forgetPeer(peer: string): void {
    this.sentByPeer.delete(peer);
  }

  /** Assumes that the peer has no digest of a place, since it lacks parts that were sent to it by hash only. */
  forgetPlace(peer: string, place: string): void {
    this.getSentDigests(peer).delete(place);
  }

  private createDelta(
    receiver: string,
    digest: PlaceDigest,
  ): PlaceDigestDelta | undefined {
    const {clock, minIntervalMs} = this.options;
    const {place, ageMs, hosts, sums} = digest;
    const madeAt = clock.now() - ageMs;
    const lastSent = this.getSentDigests(receiver).get(place);
    if (lastSent && madeAt - lastSent.madeAt < minIntervalMs) return undefined;
    const hostsHash = hashDigestPart(hosts);
    const sumsHash = hashDigestPart(sums);
    const isUnchanged =
      lastSent?.hostsHash === hostsHash && lastSent.sumsHash === sumsHash;
    if (
      isUnchanged &&
      madeAt - lastSent.madeAt < this.options.ageOnlyIntervalMs
    )
      return undefined;
    this.getSentDigests(receiver).set(place, {hostsHash, sumsHash, madeAt});
    return {
      place,
      ageMs: Math.max(0, Math.round(ageMs)),
      hostsHash,
      sumsHash,
      ...(lastSent?.hostsHash === hostsHash ? {} : {hosts: [...hosts]}),
      ...(lastSent?.sumsHash === sumsHash ? {} : {sums}),
    };
  }

  private getSentDigests(peer: string): Map<string, SentDigest> {
    let digestsByPlace = this.sentByPeer.get(peer);
    if (!digestsByPlace) {
      digestsByPlace = new Map();
      this.sentByPeer.set(peer, digestsByPlace);
    }
    return digestsByPlace;
  }
}
