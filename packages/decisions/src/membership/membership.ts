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
  /** Time without a message after which a host of the local place counts as dead, in ms. */
  readonly suspectAfterMs: number;
  /** Time without a digest after which another place counts as unreachable, in ms. */
  readonly placeSuspectAfterMs: number;
  /** Time without a message after which a host is removed, in ms. */
  readonly forgetAfterMs: number;
}

interface KnownHost {
  entry: HostState;
  /** Local monotonic time of the last message from the host, or of the last newer state relayed by a peer. */
  heardAt: number;
}

interface ReceivedDigest {
  readonly digest: PlaceDigest;
  readonly hostsHash: string;
  readonly sumsHash: string;
  /** Local monotonic time at which the digest was created, estimated from its age. */
  readonly madeAt: number;
}

const RELAYS_PER_PLACE = 2;

/**
 * The gossip membership: full states of the hosts of the local place, digests of other places. States
 * are merged by incarnation and sequence and digests by age, so delayed, duplicated and reordered
 * messages are harmless.
 */
export class Membership {
  private readonly hostsById = new Map<string, KnownHost>();
  private readonly digestsByPlace = new Map<string, ReceivedDigest>();

  constructor(private readonly options: Options) {}

  /** Merges a state of a host of the local place. `direct` tells that the host itself just sent it. */
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

  /** Merges another place's digest unless a newer one is known; false when a part that was sent by hash is missing here. */
  mergeDelta(delta: PlaceDigestDelta): boolean {
    const {place, ageMs, hostsHash, sumsHash} = delta;
    if (place === this.options.place) return true;
    const previous = this.digestsByPlace.get(place);
    const madeAt = this.options.clock.now() - ageMs;
    if (previous && previous.madeAt >= madeAt) return true;
    const hosts =
      delta.hosts ??
      (previous?.hostsHash === hostsHash ? previous.digest.hosts : undefined);
    const sums =
      delta.sums ??
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
    const host = this.hostsById.get(id);
    return (
      host !== undefined &&
      this.options.clock.now() - host.heardAt <= this.options.suspectAfterMs
    );
  }

  /** Lists the live hosts of the local place including this one, sorted by id. */
  listAlive(): HostState[] {
    return this.listKnown().filter(entry => this.isAlive(entry.id));
  }

  /** Lists the hosts of the local place that were not removed yet, alive or dead. */
  listKnown(): HostState[] {
    this.expireHosts();
    return [...this.hostsById.values()]
      .map(host => host.entry)
      .sort((a, b) => a.id.localeCompare(b.id));
  }

  /** Lists the live hosts of the local place that are not leaving, except this one. */
  listAvailablePeers(): HostState[] {
    return this.listAlive().filter(
      entry => entry.id !== this.options.self && !entry.leaving,
    );
  }

  /** Lists the digests of the other places that are reachable, with their current age. */
  listDigests(): PlaceDigest[] {
    const now = this.options.clock.now();
    return [...this.digestsByPlace.values()]
      .map(({digest, madeAt}) => ({...digest, ageMs: now - madeAt}))
      .filter(digest => digest.ageMs <= this.options.placeSuspectAfterMs);
  }

  /** Returns the age of the last digest of every place that was ever known, in ms. */
  computePlaceAges(): Record<string, number> {
    const now = this.options.clock.now();
    const ages = [...this.digestsByPlace].map(
      ([place, {madeAt}]) => [place, now - madeAt] as const,
    );
    return Object.fromEntries([[this.options.place, 0], ...ages]);
  }

  /** Creates the digest of the local place. */
  createOwnDigest(): PlaceDigest {
    return createPlaceDigest(
      this.options.place,
      this.listAlive(),
      this.listKnown(),
    );
  }

  /** Lists the live hosts of all reachable places. */
  listAllHosts(): HostSummary[] {
    return [this.createOwnDigest(), ...this.listDigests()].flatMap(
      digest => digest.hosts,
    );
  }

  /** Lists the addresses of hosts with a later configuration; in other places, of all hosts when at least one has it. */
  listAddressesAhead(offset: number): string[] {
    const inside = this.listAlive().filter(entry => entry.offset > offset);
    const outside = this.listDigests()
      .filter(digest => countHostsAtOffset(digest, offset + 1) > 0)
      .flatMap(digest => digest.hosts);
    return [...inside, ...outside].map(host => host.address);
  }

  /** Sums a version's ratings over all hosts. */
  sumRatings(version: string): VersionRatings | undefined {
    const all = [this.createOwnDigest(), ...this.listDigests()].map(
      digest => digest.sums.evidence[version],
    );
    return sumVersionRatings(all.filter(counts => counts !== undefined));
  }

  /** Collects the versions that at least one host suspects. */
  collectSuspects(): Set<string> {
    const own = this.listAlive().flatMap(entry => entry.suspects);
    return new Set([
      ...own,
      ...this.listDigests().flatMap(digest => digest.sums.suspects),
    ]);
  }

  /** Sums the recent requests per second for a workspace over all hosts. */
  sumDemand(workspace: string): number {
    return [this.createOwnDigest(), ...this.listDigests()].reduce(
      (sum, digest) => sum + (digest.sums.demand[workspace] ?? 0),
      0,
    );
  }

  /** Whether this host exchanges digests with other places for its own. Relays are selected by hash from the live hosts, without an election. */
  isRelay(): boolean {
    const ids = this.listAlive().map(entry => entry.id);
    return selectByRendezvousHash(
      ids,
      createRelayKey(this.options.place),
      RELAYS_PER_PLACE,
    ).includes(this.options.self);
  }

  /** Lists the relays of another place, according to its last digest. */
  listRelays(place: string): HostSummary[] {
    const hosts = this.digestsByPlace.get(place)?.digest.hosts ?? [];
    const ids = selectByRendezvousHash(
      hosts.map(host => host.id),
      createRelayKey(place),
      RELAYS_PER_PLACE,
    );
    return hosts.filter(host => ids.includes(host.id));
  }

  /** Finds the other place whose last digest has a host. */
  findPlace(id: string): string | undefined {
    const found = [...this.digestsByPlace.values()].find(({digest}) =>
      digest.hosts.some(host => host.id === id),
    );
    return found?.digest.place;
  }

  /** Lists the other places that were ever known. */
  listOtherPlaces(): string[] {
    return [...this.digestsByPlace.keys()];
  }

  private expireHosts(): void {
    const minHeardAt = this.options.clock.now() - this.options.forgetAfterMs;
    for (const [id, host] of this.hostsById) {
      if (id !== this.options.self && host.heardAt < minHeardAt)
        this.hostsById.delete(id);
    }
  }
}

function createRelayKey(place: string): string {
  return `relay ${place}`;
}
