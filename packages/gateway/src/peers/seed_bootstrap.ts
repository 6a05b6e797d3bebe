import {rankByHash} from '@bayspool/decisions/calls';
import {sleep} from '@bayspool/kernel';
import type {Clock} from '@bayspool/kernel';
import type {EventLog} from '../observability/event_log.js';
import type {TopicMirror} from '../records/topic_mirror.js';
import type {PeerClient} from './peer_client.js';
import type {SyncResponse} from './sync_response.js';
import type {SyncProtocol} from './sync_protocol.js';

interface Options {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly client: PeerClient;
  readonly protocol: SyncProtocol;
  readonly mirrors: readonly TopicMirror[];
  /** IP:PORT of this host's own peer server. */
  readonly ownAddress: string;
  /** IP:PORT of hosts that may already have the state that this one needs. */
  readonly seeds: readonly string[];
  /** Whether the whole fleet starts for the first time. */
  readonly isFirstStart: boolean;
  /** Called after each response of a seed. */
  readonly onSync: () => void;
}

/** Time allowed for a seed's response, in ms: a few network trips between places, and parsing a long response. */
const RESPONSE_TIMEOUT_MS = 150;
/** How long a seed that is starting as well may hold a request while it reads the store, in ms. */
const SEED_LONG_POLL_MS = 400;
/** How long a host leaves the store to the seeds at the first start of the fleet, in ms. */
const FIRST_START_WAIT_MS = 2_000;
/**
 * How long a restarted host waits for the seeds before it reads the store, in ms: loaded seeds respond within
 * about 20 ms.
 */
const RESTART_WAIT_MS = 60;
/**
 * The additional wait once a seed has responded that it is loading, in ms. After all hosts were killed, the seeds
 * read the store (11 of 12 reads at a first start of 195 hosts took 9 to 12 ms, one 0.6 s) and the other hosts load
 * from them: if each host read its four topics itself, that would be 780 calls.
 */
const LOADING_SEED_WAIT_MS = 600;
/** Delay between two rounds of requests to the seeds, in ms. */
const RETRY_DELAY_MS = 300;

/**
 * Loads a starting host's state from seeds that have it already: such a start makes no call to the store, and works
 * while the store is down or rejects this host.
 */
export class SeedBootstrap {
  /** Whether the start no longer waits for the seeds. */
  private isWaitOver = false;
  private isStopped = false;
  private isSeedLoading = false;

  constructor(private readonly options: Options) {}

  /** Sends requests to the seeds; resolves when the start no longer waits for their responses. */
  async run(): Promise<void> {
    const {clock, isFirstStart} = this.options;
    const firstPoll = isFirstStart
      ? this.pollUntilLoaded()
      : this.pollLoadingSeed();
    const maxWaitMs = isFirstStart ? FIRST_START_WAIT_MS : RESTART_WAIT_MS;
    await Promise.race([firstPoll, sleep(clock, maxWaitMs)]);
    if (this.isSeedLoading)
      await Promise.race([firstPoll, sleep(clock, LOADING_SEED_WAIT_MS)]);
    this.isWaitOver = true;
    if (!isFirstStart) void firstPoll.then(() => this.pollUntilLoaded());
  }

  /** Whether the whole fleet starts for the first time and this host loads its state from the seeds. */
  get waitsForSeeds(): boolean {
    return this.options.isFirstStart && !this.isSeed;
  }

  /** Stops sending requests. */
  stop(): void {
    this.isStopped = true;
  }

  private get isSeed(): boolean {
    const {seeds, ownAddress} = this.options;
    return seeds.includes(ownAddress);
  }

  private get isLoaded(): boolean {
    return this.options.mirrors.every(mirror => mirror.isLoaded);
  }

  private get shouldContinue(): boolean {
    return !this.isStopped && !this.isLoaded && this.rankedSeeds.length > 0;
  }

  /** The seeds ranked by a hash of this host's address, which spreads the requests over them. */
  private get rankedSeeds(): string[] {
    const {seeds, ownAddress, isFirstStart} = this.options;
    // At the first start no host has more state than the seeds, which read the store immediately.
    if (isFirstStart && this.isSeed) return [];
    const others = seeds.filter(seed => seed !== ownAddress);
    return rankByHash(ownAddress, others);
  }

  /**
   * Polls the seeds until all topics are loaded: while the store does not respond to this host, the seeds are its
   * only source.
   */
  private async pollUntilLoaded(): Promise<void> {
    const waitMs = () =>
      this.waitsForSeeds && !this.isWaitOver ? SEED_LONG_POLL_MS : 0;
    await this.askAllSeeds(waitMs());
    while (this.shouldContinue) {
      await sleep(this.options.clock, RETRY_DELAY_MS);
      await this.askAllSeeds(waitMs());
    }
  }

  /** Polls all seeds, then only one that is loading from the store, so that this host need not read it as well. */
  private async pollLoadingSeed(): Promise<void> {
    let loadingSeed = await this.askAllSeeds(0);
    while (
      loadingSeed !== undefined &&
      this.shouldContinue &&
      !this.isWaitOver
    ) {
      const response = await this.askSeed(loadingSeed, SEED_LONG_POLL_MS);
      if (!response?.isLoading) loadingSeed = await this.askAllSeeds(0);
    }
  }

  /** @returns the first seed that is still loading from the store */
  private async askAllSeeds(waitMs: number): Promise<string | undefined> {
    let loadingSeed: string | undefined;
    for (const seed of this.rankedSeeds) {
      if (!this.shouldContinue) return undefined;
      const response = await this.askSeed(seed, waitMs);
      if (!response?.isLoading) continue;
      loadingSeed ??= seed;
      // A seed does not wait for another seed: both may have just started.
      this.isSeedLoading ||= !this.isSeed;
    }
    return loadingSeed;
  }

  private async askSeed(
    seed: string,
    waitMs: number,
  ): Promise<SyncResponse | undefined> {
    const {clock, client, protocol, log, onSync} = this.options;
    const sentAt = clock.now();
    try {
      const response = await client.sync(
        seed,
        protocol.createRequest(waitMs),
        RESPONSE_TIMEOUT_MS,
      );
      protocol.applyResponse(response, sentAt);
      onSync();
      const topics = Object.keys(response.topics).length;
      log.write('seed_answered', {seed, topics, isLoaded: this.isLoaded});
      return response;
    } catch (error) {
      log.write('seed_failed', {seed, reason: String(error)});
      return undefined;
    }
  }
}
