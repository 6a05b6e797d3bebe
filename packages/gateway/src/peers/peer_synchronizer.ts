import {jitter, sleep} from '@bayspool/kernel';
import type {Clock, RandomSource} from '@bayspool/kernel';
import type {EventLog} from '../observability/event_log.js';
import type {GatewayMetrics} from '../observability/gateway_metrics.js';
import type {TopicMirror} from '../records/topic_mirror.js';
import type {HostEntry} from './host_entry.js';
import type {PeerClient} from './peer_client.js';
import type {HostDirectory} from './host_directory.js';
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
  /** Within which time a configuration is to be in force everywhere, in ms. */
  readonly configurationBoundMs: number;
  /** Whether all hosts start for the first time, and this one is no seed. */
  readonly waitsForSeeds: boolean;
  /** The copy whose proofs tell how current this host is. */
  readonly freshnessMirror: TopicMirror;
  /** Resolves when this host may have become one that reads the store. */
  readonly waitUntilReader: () => Promise<void>;
  /** Called after each exchange with another host. */
  readonly onSync: () => void;
}

/** How long a host of the same place may wait for news, in ms; also how often loads are told. */
const LONG_POLL_MS = 400;
/**
 * Pause between two looks for another host while this one has heard none, in ms: the hosts are known with the
 * first copy of the store, and what they tell is needed before the first call.
 */
const DISCOVERY_INTERVAL_MS = 30;
/** How long it looks so often, in ms: a fleet of one host has none to find. */
const DISCOVERY_MS = 1_000;
/** What each host of the place adds to it, in ms: one of them answers all the others. */
const LONG_POLL_PER_HOST_MS = 20;
/** Pause between two exchanges with other places, in ms, for up to {@link PLACES_PER_INTERVAL}. */
const PLACE_SYNC_INTERVAL_MS = 400;
/** Places that are asked in one pause; with more of them the pause grows in proportion. */
const PLACES_PER_INTERVAL = 6;
/**
 * Age of what another host tells at which this host reads the store itself, in ms: over the age in normal running
 * (a read that waits a second, is asked for again, and passed on by a host that answers 40 others: 1.9 s in the
 * median and 3.1 s at most of 493 calls), and early enough to read before keys are too old to be honoured. At 2.6 s
 * all hosts of a place of 40 read the store every 3 s: 36 calls a second of 195 hosts, where five readers are needed.
 */
const STALE_AFTER_MS = 3_300;
/**
 * The same over the bound within which a configuration is to be in force, in ms: a proof is a second old when it
 * comes, and the rest of the bound is for the read. With 3.3 s and a bound of 2 s, hosts whose reader was cut off
 * from the store and from other places were late with a configuration.
 */
const BOUND_MARGIN_MS = 600;
/**
 * How long a host goes on reading in its reader's stead once it had to, in ms: over a usual fault. One that reads
 * again only when what it knows is old hears of a new configuration that much later.
 */
const FALLBACK_MS = 10_000;
/**
 * Hosts of a place, by rank, that read the store when what they are told is old. The store may turn a third of
 * the hosts away; that it does so to three of them, and to those of all other places, is rare. While it is away
 * altogether, 195 hosts that all asked made 10,432 calls in 73 s.
 */
const MAX_FALLBACK_READERS = 3;
/**
 * How long a host leaves the store to the seeds at the first start of all, in ms: until the others are entered, each
 * takes itself for the first of its place.
 */
const FIRST_START_DELAY_MS = 2_500;
/** Further hosts of a place that are asked when its first one does not answer. */
const MAX_ALTERNATES = 2;
/**
 * Pause between an answer and the next question, in ms. A question tells what this host has, and waits until the others are
 * answered: what is told right away would be that much older by then.
 */
const POLL_PAUSE_MS = 200;
/** Pause after an exchange failed, in ms. */
const RETRY_DELAY_MS = 60;

/**
 * Decides who reads the store. The first sound host of a place reads it for the place; the others
 * ask that host. A host whose source is silent or old goes on to the next, and reads for itself.
 */
export class PeerSynchronizer {
  private isStopped = false;
  private source = '';
  private readonly firstStartDelayEndsAt: number;
  /** Until when this host reads, or learns, in the stead of its reader. */
  private fallbackUntil = -Infinity;

  constructor(private readonly options: Options) {
    const {clock, waitsForSeeds} = options;
    this.firstStartDelayEndsAt =
      clock.now() + (waitsForSeeds ? FIRST_START_DELAY_MS : 0);
  }

  /** Whether this host is to read the operator's topic now. */
  get readsStore(): boolean {
    if (this.updateFallback()) return this.isFallbackReader;
    return this.isFirstStartDelayOver && this.isPlaceReader;
  }

  /** Whether what this host knows is older than in normal running. */
  get isStale(): boolean {
    return this.ageMs > this.staleAfterMs;
  }

  private get staleAfterMs(): number {
    const bound = this.options.configurationBoundMs + BOUND_MARGIN_MS;
    return Math.min(STALE_AFTER_MS, bound);
  }

  /** Notes if what this host knows is old. @returns whether it is, or was a short time ago */
  private updateFallback(): boolean {
    const now = this.options.clock.now();
    // A host that knows nothing yet reads whatever it needs to know at all.
    const isKnowing = Number.isFinite(this.ageMs);
    if (this.isStale && isKnowing) this.fallbackUntil = now + FALLBACK_MS;
    return now < this.fallbackUntil;
  }

  /** Whether this host is to read all topics now. */
  get readsAllTopics(): boolean {
    if (this.ageMs > this.staleAfterMs * 2) return this.isFallbackReader;
    return this.isFirstStartDelayOver && this.isPlaceReader;
  }

  private get isPlaceReader(): boolean {
    const {hostDirectory: roster} = this.options;
    return roster.findReader(roster.self.place)?.name === roster.self.name;
  }

  private get isFallbackReader(): boolean {
    const {name} = this.options.hostDirectory.self;
    return this.listFallbackReaders().some(host => host.name === name);
  }

  /** The hosts of this place that may read the store while what is known is old. */
  private listFallbackReaders(): HostEntry[] {
    const {hostDirectory: roster} = this.options;
    return roster
      .listReaderCandidates(roster.self.place)
      .slice(0, MAX_FALLBACK_READERS);
  }

  private get isFirstStartDelayOver(): boolean {
    return this.options.clock.now() >= this.firstStartDelayEndsAt;
  }

  /** Asks other hosts for news from now on. */
  start(): void {
    void this.pollPlaceReader();
    void this.pollOtherPlaces();
  }

  /** Stops asking. */
  stop(): void {
    this.isStopped = true;
  }

  private get ageMs(): number {
    const {clock, freshnessMirror: freshness} = this.options;
    return clock.now() - freshness.provenAt;
  }

  private async pollPlaceReader(): Promise<void> {
    const {clock, hostDirectory: roster} = this.options;
    // A host that has just started asks for what is known now: loads, and the ages of roll-outs.
    let isKnowing = false;
    const looksUntil = clock.now() + DISCOVERY_MS;
    while (!this.isStopped) {
      const first = roster.findReader(roster.self.place);
      this.logSourceChange(first);
      if (!first || first.name === roster.self.name) {
        const isNew = !isKnowing && clock.now() < looksUntil;
        await sleep(clock, isNew ? DISCOVERY_INTERVAL_MS : LONG_POLL_MS / 2);
        continue;
      }
      const hosts = roster.countLiveIn(roster.self.place);
      const waitMs = isKnowing
        ? LONG_POLL_MS + hosts * LONG_POLL_PER_HOST_MS
        : 0;
      const isDone = await this.syncWithPeer(first, waitMs);
      isKnowing ||= isDone;
      if (isDone) await sleep(clock, POLL_PAUSE_MS);
      else await this.sleepWithJitter(RETRY_DELAY_MS);
    }
  }

  private async pollOtherPlaces(): Promise<void> {
    const {hostDirectory: roster, waitUntilReader: waitReading} = this.options;
    while (!this.isStopped) {
      if (!this.readsStore) {
        await waitReading();
        continue;
      }
      const places = roster.listOtherPlaces();
      const rounds = Math.max(1, places.length / PLACES_PER_INTERVAL);
      await this.sleepWithJitter(PLACE_SYNC_INTERVAL_MS * rounds);
      if (this.isStopped || !this.readsStore) continue;
      const asked = places.map(place => this.syncWithPlace(place));
      await Promise.all([...asked, this.pollFallbackReaders()]);
      // The reader of the only place asks nobody: what the others tell it with their questions is its news.
      if (places.length === 0) this.options.onSync();
    }
  }

  /**
   * A reader that the store turns away learns from those that read it in its stead; the others of the place ask
   * only the first. Loads are not taken over: those of a host that asks this one would come back to it.
   */
  private async pollFallbackReaders(): Promise<void> {
    if (!this.updateFallback()) return;
    const {name} = this.options.hostDirectory.self;
    const next = this.listFallbackReaders().filter(host => host.name !== name);
    await Promise.all(next.map(host => this.syncTopics(host)));
  }

  private async syncTopics(peer: HostEntry): Promise<void> {
    await this.callPeer(peer, 0, (answer, sentAt) =>
      this.options.protocol.applyTopics(answer, sentAt),
    );
  }

  private async syncWithPlace(place: string): Promise<void> {
    const [first, ...others] =
      this.options.hostDirectory.listReaderCandidates(place);
    if (!first || (await this.syncWithPeer(first, 0))) return;
    // One that does not answer may stand for its place: the others tell, all at once.
    const some = others.slice(0, MAX_ALTERNATES);
    await Promise.all(some.map(other => this.syncWithPeer(other, 0)));
  }

  private async syncWithPeer(
    peer: HostEntry,
    waitMs: number,
  ): Promise<boolean> {
    const {protocol: desk, onSync: onNews} = this.options;
    return this.callPeer(peer, waitMs, (answer, sentAt) => {
      desk.applyResponse(answer, sentAt);
      onNews();
    });
  }

  /** @returns whether the other host answered */
  private async callPeer(
    peer: HostEntry,
    waitMs: number,
    take: (answer: SyncResponse, sentAt: number) => void,
  ): Promise<boolean> {
    const {
      clock,
      client,
      protocol: desk,
      hostDirectory: roster,
      metrics,
    } = this.options;
    const sentAt = clock.now();
    try {
      const request = desk.request(waitMs, peer.place);
      const answer = await client.sync(peer.address, request);
      take(answer, sentAt);
      roster.recordResponse(peer.name);
      metrics.peerCalls.inc({outcome: 'answered'});
      return true;
    } catch (error) {
      metrics.peerCalls.inc({outcome: 'failed'});
      roster.recordFailure(peer.name, String(error));
      return false;
    }
  }

  private async sleepWithJitter(forMs: number): Promise<void> {
    const {clock, random} = this.options;
    await sleep(clock, jitter(random, forMs));
  }

  private logSourceChange(first: HostEntry | undefined): void {
    const {hostDirectory: roster, log} = this.options;
    const source =
      !first || first.name === roster.self.name ? 'store' : first.name;
    if (source === this.source) return;
    this.source = source;
    log.write('source_changed', {source, reason: 'order of sound hosts'});
  }
}
