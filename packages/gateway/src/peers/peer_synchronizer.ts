import {jitter, sleep} from '@bayspool/kernel';
import type {Clock, RandomSource} from '@bayspool/kernel';
import type {EventLog} from '../observability/event_log.js';
import type {GatewayMetrics} from '../observability/gateway_metrics.js';
import type {TopicMirror} from '../records/topic_mirror.js';
import type {HostEntry} from './host_entry.js';
import type {LoadDigest} from './load_digest.js';
import type {PeerClient} from './peer_client.js';
import type {HostDirectory} from './host_directory.js';
import type {ServingPeers} from './serving_peers.js';
import type {SyncRequest} from './sync_request.js';
import type {SyncResponse} from './sync_response.js';
import type {SyncProtocol} from './sync_protocol.js';

interface Options {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: EventLog;
  readonly metrics: GatewayMetrics;
  readonly hostDirectory: HostDirectory;
  readonly client: PeerClient;
  readonly protocol: SyncProtocol;
  readonly servingPeers: ServingPeers;
  /** Time within which a configuration must be in force on all hosts, in ms. */
  readonly configurationBoundMs: number;
  /** Whether the whole fleet starts for the first time and this host is not a seed. */
  readonly waitsForSeeds: boolean;
  /** The mirror whose proofs of freshness determine how current this host is. */
  readonly freshnessMirror: TopicMirror;
  /** Resolves when this host may have become a reader of the store. */
  readonly waitUntilReader: () => Promise<void>;
  /** Called after each sync with another host. */
  readonly onSync: () => void;
  /** Called with the rollouts that other hosts report to a reader that has just started. */
  readonly onReaderStart: (rollouts: LoadDigest['rollouts']) => void;
}

/** Base duration of a long poll to the reader of this place, in ms; also how often loads are reported. */
const LONG_POLL_MS = 400;
/**
 * Interval between two lookups of the reader until the first sync, in ms: the hosts are known from the first snapshot
 * of the store, and their state is needed before the first call.
 */
const DISCOVERY_INTERVAL_MS = 30;
/** How long the reader is looked up at that interval, in ms: a fleet of one host has no peer to find. */
const DISCOVERY_MS = 1_000;
/** Extension of the long poll for each host of the place, in ms: one of them answers all the others. */
const LONG_POLL_PER_HOST_MS = 20;
/** Interval between two syncs with other places, in ms, for up to {@link PLACES_PER_INTERVAL} of them. */
const PLACE_SYNC_INTERVAL_MS = 400;
/** Number of places per interval; with more places the interval grows in proportion. */
const PLACES_PER_INTERVAL = 6;
/**
 * Age of relayed data above which this host reads the store itself, in ms. It is above the age in normal operation
 * (a read that waits one second, is repeated, and is relayed by a host that answers 40 others: a median of 1.9 s and
 * a maximum of 3.1 s over 493 calls), and low enough to read before keys are too old to be honoured. At 2.6 s, all
 * hosts of a place of 40 read the store every 3 s: 36 calls a second from 195 hosts, where five readers are needed.
 */
const STALE_AFTER_MS = 3_300;
/**
 * How far that age may exceed the bound within which a configuration must be in force, in ms: a proof of freshness is
 * one second old when it arrives, and the rest of the bound is left for the read. With 3.3 s and a bound of 2 s, hosts
 * whose reader was cut off from the store and from other places were late with a configuration.
 */
const BOUND_MARGIN_MS = 600;
/**
 * How long a host stays a fallback reader once its data was stale, in ms: longer than a typical fault. A host that
 * read the store only while its data is stale would learn of a new configuration that much later.
 */
const FALLBACK_MS = 10_000;
/**
 * Number of hosts of a place, by rank, that read the store when their data is stale. The store may reject a third of
 * the hosts; it rarely rejects these three and those of all other places as well. During a complete outage of the
 * store, 195 hosts that all read it made 10,432 calls in 73 s.
 */
const MAX_FALLBACK_READERS = 3;
/**
 * How long a host leaves the store to the seeds at the first start of the fleet, in ms: until the other hosts are
 * registered, each host considers itself the reader of its place.
 */
const FIRST_START_DELAY_MS = 2_500;
/**
 * Number of hosts of its place that a reader asks for the current state when it starts, in case some do not respond: the
 * age of a rollout has to be known within 0.3 s.
 */
const MAX_STATE_SOURCES = 3;
/** Number of further hosts of a place that are called when its reader does not respond. */
const MAX_ALTERNATES = 2;
/**
 * Pause between a response and the next poll, in ms. A poll carries this host's digest and is held until the polls of
 * the other hosts complete: a digest sent without the pause would be that much older by then.
 */
const POLL_PAUSE_MS = 200;
/** Delay after a failed sync, in ms. */
const RETRY_DELAY_MS = 60;

/**
 * Keeps this host in sync with its peers, and decides whether it reads the store. The first healthy host of a place
 * reads the store for the place; the others poll that host. When it does not respond, they poll the next healthy host;
 * when the data is stale, the first few hosts of the place read the store themselves.
 */
export class PeerSynchronizer {
  private isStopped = false;
  private source = '';
  private readonly firstStartDelayEndsAt: number;
  /** Until when this host reads the store, or polls fallback readers, because its data was stale. */
  private fallbackUntil = -Infinity;

  constructor(private readonly options: Options) {
    const {clock, waitsForSeeds} = options;
    this.firstStartDelayEndsAt =
      clock.now() + (waitsForSeeds ? FIRST_START_DELAY_MS : 0);
  }

  /** Whether this host should read the operator topic now. */
  get readsStore(): boolean {
    if (this.updateFallback()) return this.isFallbackReader;
    return this.isFirstStartDelayOver && this.isPlaceReader;
  }

  /** Whether this host's data is older than in normal operation. */
  get isStale(): boolean {
    return this.ageMs > this.staleAfterMs;
  }

  private get staleAfterMs(): number {
    const bound = this.options.configurationBoundMs + BOUND_MARGIN_MS;
    return Math.min(STALE_AFTER_MS, bound);
  }

  /**
   * Starts or extends the fallback period if this host's data is stale.
   *
   * @returns whether the fallback period is running
   */
  private updateFallback(): boolean {
    const now = this.options.clock.now();
    // A host without any data loads its topics from the store in any case.
    const hasData = Number.isFinite(this.ageMs);
    if (this.isStale && hasData) this.fallbackUntil = now + FALLBACK_MS;
    return now < this.fallbackUntil;
  }

  /** Whether this host should read all topics now. */
  get readsAllTopics(): boolean {
    if (this.ageMs > this.staleAfterMs * 2) return this.isFallbackReader;
    return this.isFirstStartDelayOver && this.isPlaceReader;
  }

  private get isPlaceReader(): boolean {
    const {hostDirectory} = this.options;
    return (
      hostDirectory.findReader(hostDirectory.self.place)?.name ===
      hostDirectory.self.name
    );
  }

  private get isFallbackReader(): boolean {
    const {name} = this.options.hostDirectory.self;
    return this.listFallbackReaders().some(host => host.name === name);
  }

  /** Returns the hosts of this place that may read the store while their data is stale. */
  private listFallbackReaders(): HostEntry[] {
    const {hostDirectory} = this.options;
    return hostDirectory
      .listReaderCandidates(hostDirectory.self.place)
      .slice(0, MAX_FALLBACK_READERS);
  }

  private get isFirstStartDelayOver(): boolean {
    return this.options.clock.now() >= this.firstStartDelayEndsAt;
  }

  /** Starts to sync with other hosts. */
  start(): void {
    void this.pollPlaceReader();
    void this.pollOtherPlaces();
  }

  /**
   * Tells those at once that count this host among the ones that take callers: the reader of this place or, if that is
   * this host, the hosts that poll it and the readers of other places.
   */
  announceStop(): void {
    const {hostDirectory, protocol} = this.options;
    const {self} = hostDirectory;
    protocol.publishWithdrawal();
    const reader = hostDirectory.findReader(self.place);
    const places =
      reader?.name === self.name
        ? hostDirectory.listOtherPlaces()
        : [self.place];
    for (const place of places) {
      const peer = hostDirectory.findReader(place);
      if (peer) void this.exchangeStatements(peer);
    }
  }

  /** Applies no loads, as the long poll that is under way brings them. */
  private async exchangeStatements(peer: HostEntry): Promise<void> {
    const {protocol} = this.options;
    await this.callPeer(
      peer,
      protocol.createRequest(0, peer.place),
      (response, sentAt) => protocol.applyStatements(response, sentAt),
    );
  }

  /** Stops syncing. */
  stop(): void {
    this.isStopped = true;
  }

  private get ageMs(): number {
    const {clock, freshnessMirror} = this.options;
    return clock.now() - freshnessMirror.freshAsOf;
  }

  private async pollPlaceReader(): Promise<void> {
    const {clock, hostDirectory} = this.options;
    // A host that has just started asks for the current state without a long poll: loads, and the ages of rollouts.
    let hasSynced = false;
    const discoveryEndsAt = clock.now() + DISCOVERY_MS;
    while (!this.isStopped) {
      const reader = hostDirectory.findReader(hostDirectory.self.place);
      this.logSourceChange(reader);
      if (!reader || reader.name === hostDirectory.self.name) {
        const isDiscovering = !hasSynced && clock.now() < discoveryEndsAt;
        if (isDiscovering) hasSynced = await this.requestStateAsReader();
        await sleep(
          clock,
          isDiscovering ? DISCOVERY_INTERVAL_MS : LONG_POLL_MS / 2,
        );
        continue;
      }
      const hostCount = hostDirectory.countLiveIn(hostDirectory.self.place);
      const waitMs = hasSynced
        ? LONG_POLL_MS + hostCount * LONG_POLL_PER_HOST_MS
        : 0;
      const isSynced = await this.syncWithPeer(reader, waitMs);
      hasSynced ||= isSynced;
      if (isSynced) await sleep(clock, POLL_PAUSE_MS);
      else await this.sleepWithJitter(RETRY_DELAY_MS);
    }
  }

  /**
   * Requests the current state from other hosts of this place for a reader that has just started. Otherwise it would learn
   * the ages and shares of rollouts only when they poll it, and until then send sessions back to the old version. The
   * loads are not used: they may include this host's own, and the other hosts will report theirs themselves.
   *
   * @returns whether any host responded
   */
  private async requestStateAsReader(): Promise<boolean> {
    const {hostDirectory, protocol, onReaderStart} = this.options;
    const {self} = hostDirectory;
    const sources = hostDirectory
      .listReaderCandidates(self.place)
      .filter(({name}) => name !== self.name)
      .slice(0, MAX_STATE_SOURCES);
    const responded = await Promise.all(
      sources.map(host =>
        this.callPeer(host, protocol.createRequest(0), (response, sentAt) => {
          protocol.applyTopics(response, sentAt);
          protocol.applyStatements(response, sentAt);
          onReaderStart(response.loads.rollouts);
        }),
      ),
    );
    return responded.includes(true);
  }

  private async pollOtherPlaces(): Promise<void> {
    const {clock, hostDirectory, waitUntilReader} = this.options;
    // A host that has just started asks the other places as soon as it knows them: all hosts of its own place may have just
    // started too.
    const discoveryEndsAt = clock.now() + DISCOVERY_MS;
    let hasAsked = false;
    while (!this.isStopped) {
      if (!this.readsStore) {
        await waitUntilReader();
        continue;
      }
      const isDiscovering =
        !hostDirectory.isLoaded && clock.now() < discoveryEndsAt;
      if (!hasAsked && isDiscovering) {
        await sleep(clock, DISCOVERY_INTERVAL_MS);
        continue;
      }
      const places = hostDirectory.listOtherPlaces();
      const intervals = Math.max(1, places.length / PLACES_PER_INTERVAL);
      if (hasAsked)
        await this.sleepWithJitter(PLACE_SYNC_INTERVAL_MS * intervals);
      hasAsked = true;
      if (this.isStopped || !this.readsStore) continue;
      const syncs = places.map(place => this.syncWithPlace(place));
      await Promise.all([...syncs, this.pollFallbackReaders()]);
      // In a fleet of one place the reader polls no peer: it gets the others' state with their requests.
      if (places.length === 0) this.options.onSync();
    }
  }

  /**
   * Loads topics from the other fallback readers of this place, in case the store rejects this one: the remaining
   * hosts poll only the first reader. Loads are not applied, as a host that polls this one would get its own back.
   */
  private async pollFallbackReaders(): Promise<void> {
    if (!this.updateFallback()) return;
    const {name} = this.options.hostDirectory.self;
    const peers = this.listFallbackReaders().filter(host => host.name !== name);
    await Promise.all(peers.map(host => this.syncTopics(host)));
  }

  private async syncTopics(peer: HostEntry): Promise<void> {
    const {protocol} = this.options;
    await this.callPeer(
      peer,
      protocol.createRequest(0, peer.place),
      (response, sentAt) => protocol.applyTopics(response, sentAt),
    );
  }

  private async syncWithPlace(place: string): Promise<void> {
    const [first, ...others] =
      this.options.hostDirectory.listReaderCandidates(place);
    if (!first || (await this.syncWithPeer(first, 0))) return;
    // A single host may fail without its place: the next ones are called in parallel.
    const alternates = others.slice(0, MAX_ALTERNATES);
    await Promise.all(alternates.map(host => this.syncWithPeer(host, 0)));
  }

  private async syncWithPeer(
    peer: HostEntry,
    waitMs: number,
  ): Promise<boolean> {
    const {protocol, onSync} = this.options;
    return this.callPeer(
      peer,
      protocol.createRequest(waitMs, peer.place),
      (response, sentAt) => {
        protocol.applyResponse(response, sentAt);
        onSync();
      },
    );
  }

  /** @returns whether the peer responded */
  private async callPeer(
    peer: HostEntry,
    request: SyncRequest,
    apply: (response: SyncResponse, sentAt: number) => void,
  ): Promise<boolean> {
    const {clock, client, hostDirectory, metrics, servingPeers} = this.options;
    const sentAt = clock.now();
    const statement = servingPeers.stateFor(peer);
    try {
      const response = await client.sync(peer.address, {
        ...request,
        ...statement,
      });
      servingPeers.record(peer.name, response, sentAt, request.waitMs);
      apply(response, sentAt);
      hostDirectory.recordResponse(peer.name);
      metrics.peerCalls.inc({outcome: 'answered'});
      return true;
    } catch (error) {
      metrics.peerCalls.inc({outcome: 'failed'});
      hostDirectory.recordFailure(peer.name, String(error));
      return false;
    }
  }

  private async sleepWithJitter(durationMs: number): Promise<void> {
    const {clock, random} = this.options;
    await sleep(clock, jitter(random, durationMs));
  }

  private logSourceChange(reader: HostEntry | undefined): void {
    const {hostDirectory, log} = this.options;
    const source =
      !reader || reader.name === hostDirectory.self.name
        ? 'store'
        : reader.name;
    if (source === this.source) return;
    this.source = source;
    log.write('source_changed', {source, reason: 'ranking of healthy hosts'});
  }
}
