import {rankByHash} from '@bayspool/decisions/calls';
import type {Clock} from '@bayspool/kernel';
import type {EventLog} from '../observability/event_log.js';
import type {KeyedRecord} from '../records/keyed_record.js';
import {decodeEntry} from '../records/decode_entry.js';
import type {RefusedEntryReporter} from '../records/refused_entry_reporter.js';
import type {TopicMirror} from '../records/topic_mirror.js';
import {CachedValue} from './cached_value.js';
import type {HostEntry} from './host_entry.js';
import {hostEntryCodec} from './host_entry_codec.js';
import {hostKey} from './host_key.js';

interface Options {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly mirror: TopicMirror;
  readonly self: HostEntry;
  readonly refusedEntries: RefusedEntryReporter;
}

/** How long a host that did not respond is skipped as a reader, in ms. */
const SUSPECT_MS = 2_000;
/** A host that has been out of contact for this long is not counted as live, in ms. */
const UNREACHABLE_AFTER_MS = 15_000;
/**
 * How long a peer's report that a place is lost stays valid, in ms: two sync rounds inside a place. The reader
 * repeats the report in each round while the place stays lost.
 */
const REPORT_TTL_MS = 1_000;
/** How many hosts of a place must be silent, with no contact to the place since, before it counts as lost. */
const MIN_SILENT_HOSTS = 3;
/** How long the lost places are reused while no contact with a host begins or ends, in ms. */
const LOST_PLACES_TTL_MS = 100;
/** Returned while no host is lost, to avoid an allocation for each runner choice. */
const EMPTY_SET: ReadonlySet<string> = new Set();

/** Tracks the hosts of the fleet and which of them are in contact with this host. */
export class HostDirectory {
  private readonly hostsByName = new Map<string, HostEntry>();
  /** Hosts by place, in the order in which they are preferred as its reader. */
  private readonly rankedByPlace = new Map<string, readonly HostEntry[]>();
  private readonly suspectedUntil = new Map<string, number>();
  private readonly lostSince = new Map<string, number>();
  /** Until when places count as lost because a peer reported them. */
  private readonly reportedLostUntil = new Map<string, number>();
  /** When any host of each place last responded to this host or sent it a request. */
  private readonly lastContactAt = new Map<string, number>();
  private maxLiveCount = 1;
  /** Computed for every choice of a runner, and a pass over all hosts. */
  private readonly observedLost: CachedValue<ReadonlySet<string>>;
  private readonly placeLostListeners: Array<() => void> = [];

  constructor(private readonly options: Options) {
    this.observedLost = new CachedValue({
      clock: options.clock,
      ttlMs: LOST_PLACES_TTL_MS,
      compute: () => this.computeObservedLostPlaces(),
    });
    options.mirror.onUpdate(({changed}) => {
      for (const record of changed)
        if (hostKey.matches(record.key)) this.applyRecord(record);
    });
  }

  /** The entry of this host. */
  get self(): HostEntry {
    return this.options.self;
  }

  /** Returns the hosts considered live, including this one. */
  listLive(): HostEntry[] {
    const unreachable = this.findUnreachable();
    const others = [...this.hostsByName.values()].filter(
      ({name}) => !unreachable.has(name),
    );
    return [this.options.self, ...others];
  }

  /** Number of hosts considered live. It is read for every runner in every choice, so no list is built. */
  get liveCount(): number {
    return 1 + this.hostsByName.size - this.findUnreachable().size;
  }

  /** Number of hosts, including this one, without those that did not respond to this host last. */
  get respondingCount(): number {
    let count = 1 + this.hostsByName.size;
    for (const name of this.lostSince.keys())
      if (this.hostsByName.has(name)) count -= 1;
    return count;
  }

  /** Highest number of live hosts since this one started: hosts missing now may only be unreachable from here. */
  get peakLiveCount(): number {
    return this.maxLiveCount;
  }

  /** Returns the names of the hosts registered in a place, whether or not they respond. */
  listRegisteredIn(place: string): string[] {
    return this.rankHostsOf(place).map(({name}) => name);
  }

  /** Whether the host entries have been loaded at least once. */
  get isLoaded(): boolean {
    return this.options.mirror.isLoaded;
  }

  /** Returns the names of all registered hosts, including this one, whether or not they respond. */
  listRegistered(): string[] {
    return [this.options.self.name, ...this.hostsByName.keys()];
  }

  /** Returns the live, unsuspected hosts of a place in the order in which they are preferred as its reader. */
  listReaderCandidates(place: string): HostEntry[] {
    return this.rankHostsOf(place).filter(this.createHealthCheck());
  }

  /** Returns the host that reads the store for a place; undefined if there is none. */
  findReader(place: string): HostEntry | undefined {
    return this.rankHostsOf(place).find(this.createHealthCheck());
  }

  /** Returns the number of hosts of a place considered live. */
  countLiveIn(place: string): number {
    const unreachable = this.findUnreachable();
    return this.rankHostsOf(place).filter(({name}) => !unreachable.has(name))
      .length;
  }

  /** Returns the places other than this host's that have live hosts. */
  listOtherPlaces(): string[] {
    const {place} = this.options.self;
    const places = new Set(this.listLive().map(host => host.place));
    places.delete(place);
    return [...places].sort();
  }

  /** Returns other places that are probably unreachable, with their runners: observed here or reported by a peer. */
  findLostPlaces(): ReadonlySet<string> {
    if (this.lostSince.size + this.reportedLostUntil.size === 0)
      return EMPTY_SET;
    const now = this.options.clock.now();
    if (this.reportedLostUntil.size === 0) return this.findObservedLostPlaces();
    const lost = new Set(this.findObservedLostPlaces());
    for (const [place, until] of this.reportedLostUntil)
      if (now < until) lost.add(place);
      else this.reportedLostUntil.delete(place);
    return lost;
  }

  /** Returns other places of which no host, or none of the few hosts called last, responds to this host. */
  findObservedLostPlaces(): ReadonlySet<string> {
    if (this.lostSince.size === 0) return EMPTY_SET;
    return this.observedLost.get();
  }

  private computeObservedLostPlaces(): ReadonlySet<string> {
    const lost = new Set<string>();
    for (const [place, {hosts, silent}] of this.countSilentHosts())
      if (silent >= Math.min(MIN_SILENT_HOSTS, hosts)) lost.add(place);
    return lost;
  }

  /** Whether every other place is probably unreachable, so that it is this place that is cut off. */
  get isIsolated(): boolean {
    const lost = this.findLostPlaces();
    if (lost.size === 0) return false;
    return this.listOtherPlaces().every(place => lost.has(place));
  }

  /** Records that a peer reaches no host in these places. */
  recordReportedLost(places: readonly string[], source: string): void {
    const {clock, log, self} = this.options;
    const now = clock.now();
    for (const place of places) {
      if (place === self.place) continue;
      const isNew = !((this.reportedLostUntil.get(place) ?? 0) > now);
      if (isNew) log.write('place_lost', {place, source});
      this.reportedLostUntil.set(place, now + REPORT_TTL_MS);
    }
  }

  /** Calls the listener whenever this host observes that another place is lost. */
  onPlaceLost(listener: () => void): void {
    this.placeLostListeners.push(listener);
  }

  /** Records that a host responded. */
  recordResponse(name: string): void {
    this.recordContact(this.hostsByName.get(name)?.place);
    this.suspectedUntil.delete(name);
    this.observedLost.clear();
    if (this.lostSince.delete(name))
      this.options.log.write('peer_regained', {peer: name});
    this.maxLiveCount = Math.max(this.maxLiveCount, this.liveCount);
  }

  /** Records that a host sent a request: it is live, even if its entry has not arrived from the store yet. */
  recordRequest(host: HostEntry): void {
    if (host.name === this.options.self.name) return;
    this.recordContact(host.place);
    if (this.hostsByName.get(host.name)?.address !== host.address)
      this.addHost(host);
    // Only a lost host is restored by its own request: a suspected one has to respond to this host.
    else if (this.lostSince.has(host.name)) this.recordResponse(host.name);
  }

  /** Records that a host did not respond; it is suspected for a while. */
  recordFailure(name: string, reason: string): void {
    const now = this.options.clock.now();
    this.suspectedUntil.set(name, now + SUSPECT_MS);
    if (this.lostSince.has(name)) return;
    const lostBefore = this.findObservedLostPlaces();
    this.lostSince.set(name, now);
    this.observedLost.clear();
    const {log} = this.options;
    log.write('peer_lost', {peer: name, reason});
    for (const place of this.findObservedLostPlaces()) {
      if (lostBefore.has(place)) continue;
      log.write('place_lost', {place, source: 'own calls'});
      for (const listener of this.placeLostListeners) listener();
    }
  }

  /** Counts the hosts of each other place, and those silent since the last contact with that place, in one pass. */
  private countSilentHosts(): Map<string, {hosts: number; silent: number}> {
    const counts = new Map<string, {hosts: number; silent: number}>();
    for (const {name, place} of this.listLive()) {
      if (place === this.options.self.place) continue;
      const count = counts.get(place) ?? {hosts: 0, silent: 0};
      counts.set(place, count);
      count.hosts += 1;
      const contactAt = this.lastContactAt.get(place) ?? -Infinity;
      if ((this.lostSince.get(name) ?? -Infinity) > contactAt)
        count.silent += 1;
    }
    return counts;
  }

  private recordContact(place: string | undefined): void {
    if (place !== undefined)
      this.lastContactAt.set(place, this.options.clock.now());
    this.observedLost.clear();
  }

  /** Returns a predicate that checks whether a host is live and not suspected, as of now. */
  private createHealthCheck(): (host: HostEntry) => boolean {
    const now = this.options.clock.now();
    const unreachable = this.findUnreachable();
    return ({name}) =>
      !unreachable.has(name) && now >= (this.suspectedUntil.get(name) ?? 0);
  }

  /** Returns all hosts registered in a place, ranked as readers; cached until an entry changes. */
  private rankHostsOf(place: string): readonly HostEntry[] {
    const cached = this.rankedByPlace.get(place);
    if (cached) return cached;
    const {self} = this.options;
    const hosts = [self, ...this.hostsByName.values()];
    const ranked = rankReaders(
      place,
      hosts.filter(host => host.place === place),
    );
    this.rankedByPlace.set(place, ranked);
    return ranked;
  }

  /** Returns the names of registered hosts that have been out of contact for too long to count as live. */
  private findUnreachable(): ReadonlySet<string> {
    if (this.lostSince.size === 0) return EMPTY_SET;
    const now = this.options.clock.now();
    const unreachable = new Set<string>();
    for (const [name, since] of this.lostSince)
      if (now - since >= UNREACHABLE_AFTER_MS && this.hostsByName.has(name))
        unreachable.add(name);
    return unreachable;
  }

  private applyRecord(record: KeyedRecord): void {
    const {log, mirror, refusedEntries, self} = this.options;
    const name = record.key.slice(hostKey.forName('').length);
    if (name === self.name) return;
    if (record.value === undefined) {
      if (this.hostsByName.delete(name)) log.write('peer_gone', {peer: name});
      this.rankedByPlace.clear();
      this.observedLost.clear();
      return;
    }
    try {
      this.addHost(decodeEntry(hostEntryCodec, record));
    } catch (error) {
      // A known host is kept: whether it responds does not depend on an entry that another program has overwritten.
      refusedEntries.report(mirror.topic, record, error);
    }
  }

  private addHost(entry: HostEntry): void {
    const {name, place, address} = entry;
    // A host may be known from its request before its entry arrives.
    const isKnown =
      this.hostsByName.get(name)?.address === address &&
      !this.lostSince.has(name);
    this.hostsByName.set(name, entry);
    this.rankedByPlace.clear();
    this.observedLost.clear();
    this.suspectedUntil.delete(name);
    this.lostSince.delete(name);
    this.maxLiveCount = Math.max(this.maxLiveCount, this.liveCount);
    if (isKnown) return;
    this.options.log.write('peer_seen', {peer: name, place, address});
  }
}

/** Ranks the hosts of a place by capacity, and by hash among equals, so that all hosts agree on the order. */
function rankReaders(place: string, hosts: readonly HostEntry[]): HostEntry[] {
  const names = hosts.map(({name}) => name);
  const byName = new Map(hosts.map(host => [host.name, host]));
  return rankByHash(`reader|${place}`, names)
    .map(name => byName.get(name)!)
    .sort((a, b) => b.capacity - a.capacity);
}
