import type {Clock} from '@bayspool/kernel';
import type {HostState} from './host_state.js';
import {countHostsAtOffset} from './count_hosts_at_offset.js';
import type {HostSummary} from './host_summary.js';
import type {PlaceDigest} from './place_digest.js';
import type {PlaceDigestDelta} from './place_digest_delta.js';
import {selectByRendezvousHash} from './select_by_rendezvous_hash.js';
import {createPlaceDigest} from './create_place_digest.js';
import type {VersionRatings} from './version_ratings.js';
import {sumVersionRatings} from './sum_version_ratings.js';

interface Options {
  readonly clock: Clock;
  readonly self: string;
  readonly place: string;
  /** After this time without a message a host of the own place is taken to be gone, in ms. */
  readonly suspectAfterMs: number;
  /** After this time without a digest another place is taken to be cut off, in ms. */
  readonly placeSuspectAfterMs: number;
  /** After this time a host that is gone is forgotten, in ms. */
  readonly forgetAfterMs: number;
}

interface KnownHost {
  entry: HostState;
  /** Local monotonic time of the last message from the host itself. */
  heardAt: number;
}

interface ReceivedDigest {
  readonly digest: PlaceDigest;
  readonly hostsHash: string;
  readonly sumsHash: string;
  /** Local monotonic time at which the digest was made, as far as is known. */
  readonly madeAt: number;
}

const RELAYS_PER_PLACE = 2;

/**
 * Who is there: every host of the own place in full, other places as digests.
 * Entries are merged by incarnation and sequence and digests by age, so late,
 * doubled and crossed messages do no harm.
 */
export class Membership {
  private readonly hostsById = new Map<string, KnownHost>();
  private readonly digestsByPlace = new Map<string, ReceivedDigest>();

  constructor(private readonly options: Options) {}

  /** Takes an entry of the own place. `direct` says that the host itself sent it just now. */
  mergeState(entry: HostState, direct: boolean): void {
    if (entry.place !== this.options.place) return;
    const now = this.options.clock.now();
    const existing = this.hostsById.get(entry.id);
    if (!existing) {
      this.hostsById.set(entry.id, {entry, heardAt: now});
      return;
    }
    const order =
      entry.incarnation - existing.entry.incarnation ||
      entry.sequence - existing.entry.sequence;
    if (order < 0) return;
    existing.entry = entry;
    if (direct || order > 0) existing.heardAt = now;
  }

  /** Takes news of another place, unless younger news are known; false when a part that it names is missing here. */
  mergeDelta(news: PlaceDigestDelta): boolean {
    const {place, ageMs, hostsHash, sumsHash} = news;
    if (place === this.options.place) return true;
    const previous = this.digestsByPlace.get(place);
    const madeAt = this.options.clock.now() - ageMs;
    if (previous && previous.madeAt >= madeAt) return true;
    const hosts =
      news.hosts ??
      (previous?.hostsHash === hostsHash ? previous.digest.hosts : undefined);
    const sums =
      news.sums ??
      (previous?.sumsHash === sumsHash ? previous.digest.sums : undefined);
    if (!hosts || !sums) return false;
    this.digestsByPlace.set(place, {
      digest: {place, ageMs, hosts, sums},
      hostsHash,
      sumsHash,
      madeAt,
    });
    return true;
  }

  get(id: string): HostState | undefined {
    return this.hostsById.get(id)?.entry;
  }

  isAlive(id: string): boolean {
    if (id === this.options.self) return true;
    const member = this.hostsById.get(id);
    return (
      member !== undefined &&
      this.options.clock.now() - member.heardAt <= this.options.suspectAfterMs
    );
  }

  /** The living hosts of the own place, this one among them, in order of their ids. */
  listAlive(): HostState[] {
    return this.listKnown().filter(entry => this.isAlive(entry.id));
  }

  /** The hosts of the own place that are not yet forgotten, living or gone. */
  listKnown(): HostState[] {
    this.expireHosts();
    return [...this.hostsById.values()]
      .map(member => member.entry)
      .sort((a, b) => a.id.localeCompare(b.id));
  }

  /** Living hosts of the own place other than this one that are not leaving. */
  listAvailablePeers(): HostState[] {
    return this.listAlive().filter(
      entry => entry.id !== this.options.self && !entry.leaving,
    );
  }

  /** Digests of the other places that are not cut off, with their present age. */
  listDigests(): PlaceDigest[] {
    const now = this.options.clock.now();
    return [...this.digestsByPlace.values()]
      .map(({digest, madeAt}) => ({...digest, ageMs: now - madeAt}))
      .filter(digest => digest.ageMs <= this.options.placeSuspectAfterMs);
  }

  /** Every place that was ever heard of, with the age of its last digest in ms. */
  computePlaceAges(): Record<string, number> {
    const now = this.options.clock.now();
    const ages = [...this.digestsByPlace].map(
      ([place, {madeAt}]) => [place, now - madeAt] as const,
    );
    return Object.fromEntries([[this.options.place, 0], ...ages]);
  }

  /** The digest of the own place. */
  createOwnDigest(): PlaceDigest {
    return createPlaceDigest(
      this.options.place,
      this.listAlive(),
      this.listKnown(),
    );
  }

  /** All living hosts of all places. */
  listAllHosts(): HostSummary[] {
    return [this.createOwnDigest(), ...this.listDigests()].flatMap(
      digest => digest.hosts,
    );
  }

  /** Addresses of hosts with a later configuration; of other places, all hosts where one has it. */
  listAddressesAhead(offset: number): string[] {
    const inside = this.listAlive().filter(entry => entry.offset > offset);
    const outside = this.listDigests()
      .filter(digest => countHostsAtOffset(digest, offset + 1) > 0)
      .flatMap(digest => digest.hosts);
    return [...inside, ...outside].map(host => host.address);
  }

  /** A version's ratings over all hosts. */
  sumRatings(version: string): VersionRatings | undefined {
    const all = [this.createOwnDigest(), ...this.listDigests()].map(
      digest => digest.sums.evidence[version],
    );
    return sumVersionRatings(all.filter(counts => counts !== undefined));
  }

  /** Versions that some host holds suspect. */
  collectSuspects(): Set<string> {
    const own = this.listAlive().flatMap(entry => entry.suspects);
    return new Set([
      ...own,
      ...this.listDigests().flatMap(digest => digest.sums.suspects),
    ]);
  }

  /** Recent requests a second for a workspace, over all hosts. */
  sumDemand(workspace: string): number {
    return [this.createOwnDigest(), ...this.listDigests()].reduce(
      (sum, digest) => sum + (digest.sums.demand[workspace] ?? 0),
      0,
    );
  }

  /** Whether this host speaks for its place: by hash over the living hosts, without an election. */
  isRelay(): boolean {
    const ids = this.listAlive().map(entry => entry.id);
    return selectByRendezvousHash(
      ids,
      createRelayKey(this.options.place),
      RELAYS_PER_PLACE,
    ).includes(this.options.self);
  }

  /** The relays of another place, as far as its last digest tells. */
  listRelays(place: string): HostSummary[] {
    const hosts = this.digestsByPlace.get(place)?.digest.hosts ?? [];
    const ids = selectByRendezvousHash(
      hosts.map(host => host.id),
      createRelayKey(place),
      RELAYS_PER_PLACE,
    );
    return hosts.filter(host => ids.includes(host.id));
  }

  /** The other place that a host was last heard to be in. */
  findPlace(id: string): string | undefined {
    const found = [...this.digestsByPlace.values()].find(({digest}) =>
      digest.hosts.some(host => host.id === id),
    );
    return found?.digest.place;
  }

  /** The other places that were ever heard of. */
  listOtherPlaces(): string[] {
    return [...this.digestsByPlace.keys()];
  }

  private expireHosts(): void {
    const oldest = this.options.clock.now() - this.options.forgetAfterMs;
    for (const [id, member] of this.hostsById) {
      if (id !== this.options.self && member.heardAt < oldest)
        this.hostsById.delete(id);
    }
  }
}

function createRelayKey(place: string): string {
  return `relay ${place}`;
}
