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
  /** IP:PORT of hosts that may know what this one needs. */
  readonly seeds: readonly string[];
  /** Whether all hosts start for the first time now. */
  readonly isFirstStart: boolean;
  /** Called after each answer of a seed. */
  readonly onSync: () => void;
}

/** Time for a seed's answer, in ms: some ways between places, and the reading of a long answer. */
const RESPONSE_TIMEOUT_MS = 150;
/** How long seeds that start as well may wait for the store before they answer, in ms. */
const SEED_LONG_POLL_MS = 400;
/** How long a host leaves the store to the seeds at the first start of all, in ms. */
const FIRST_START_WAIT_MS = 2_000;
/**
 * How long a restart leaves the store unread for the seeds' answers, in ms: seeds that know answer within
 * some 20 ms.
 */
const RESTART_WAIT_MS = 60;
/**
 * The same once a seed said that it reads the store just then, in ms. After all hosts were killed the seeds read it
 * (11 of 12 reads at a first start of 195 hosts took 9 to 12 ms, one 0.6 s), and the others learn from them: if each
 * read its four topics, that would be 780 calls.
 */
const LOADING_SEED_WAIT_MS = 600;
/** Pause between two rounds of asking, in ms. */
const RETRY_DELAY_MS = 300;

/**
 * A host's first knowledge, from hosts that have it already: a start then costs no call to the store,
 * and works while the store is away or turns this host off.
 */
export class SeedBootstrap {
  /** Whether the answers are no longer waited for. */
  private isWaitOver = false;
  private isStopped = false;
  private isSeedLoading = false;

  constructor(private readonly options: Options) {}

  /** Asks the seeds; resolves when their answers are no longer waited for. */
  async run(): Promise<void> {
    const {clock, isFirstStart} = this.options;
    const firstRounds = isFirstStart
      ? this.pollUntilLoaded()
      : this.pollLoadingSeed();
    const headStartMs = isFirstStart ? FIRST_START_WAIT_MS : RESTART_WAIT_MS;
    await Promise.race([firstRounds, sleep(clock, headStartMs)]);
    if (this.isSeedLoading)
      await Promise.race([firstRounds, sleep(clock, LOADING_SEED_WAIT_MS)]);
    this.isWaitOver = true;
    if (!isFirstStart) void firstRounds.then(() => this.pollUntilLoaded());
  }

  /** Whether all hosts start for the first time, and this one learns from the seeds. */
  get waitsForSeeds(): boolean {
    return this.options.isFirstStart && !this.isSeed;
  }

  /** Stops asking. */
  stop(): void {
    this.isStopped = true;
  }

  private get isSeed(): boolean {
    const {seeds, ownAddress: self} = this.options;
    return seeds.includes(self);
  }

  private get isLoaded(): boolean {
    return this.options.mirrors.every(mirror => mirror.isLoaded);
  }

  private get shouldContinue(): boolean {
    return !this.isStopped && !this.isLoaded && this.seeds.length > 0;
  }

  /** The seeds in an order of this host's own, so that they share the work. */
  private get seeds(): string[] {
    const {seeds, ownAddress: self, isFirstStart} = this.options;
    // At the first start nobody knows more than the seeds, which read the store at once.
    if (isFirstStart && this.isSeed) return [];
    const others = seeds.filter(seed => seed !== self);
    return rankByHash(self, others);
  }

  /**
   * Asks until everything is known: while the store does not answer this host, the seeds are its only
   * way to know anything.
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

  /** Asks all, and goes on with a seed that reads the store just then, which the others need not do as well. */
  private async pollLoadingSeed(): Promise<void> {
    let loading = await this.askAllSeeds(0);
    while (loading !== undefined && this.shouldContinue && !this.isWaitOver) {
      const answer = await this.askSeed(loading, SEED_LONG_POLL_MS);
      if (!answer?.isLoading) loading = await this.askAllSeeds(0);
    }
  }

  /** @returns a seed that reads the store and will know more soon */
  private async askAllSeeds(waitMs: number): Promise<string | undefined> {
    let loading: string | undefined;
    for (const seed of this.seeds) {
      if (!this.shouldContinue) return undefined;
      const answer = await this.askSeed(seed, waitMs);
      if (!answer?.isLoading) continue;
      loading ??= seed;
      // A seed does not wait for another one: both may have started just now.
      this.isSeedLoading ||= !this.isSeed;
    }
    return loading;
  }

  private async askSeed(
    seed: string,
    waitMs: number,
  ): Promise<SyncResponse | undefined> {
    const {clock, client, protocol: desk, log, onSync: onNews} = this.options;
    const sentAt = clock.now();
    try {
      const answer = await client.sync(
        seed,
        desk.request(waitMs),
        RESPONSE_TIMEOUT_MS,
      );
      desk.applyResponse(answer, sentAt);
      onNews();
      const topics = Object.keys(answer.topics).length;
      log.write('seed_answered', {seed, topics, isLoaded: this.isLoaded});
      return answer;
    } catch (error) {
      log.write('seed_failed', {seed, reason: String(error)});
      return undefined;
    }
  }
}
