import {randomUUID} from 'node:crypto';
import {
  Backoff,
  type Configuration,
  type LogFreshness,
  type Log,
  type Sealer,
  type Seed,
} from '@bayspool/decisions';
import {
  sleep,
  timeoutSignal,
  type Clock,
  type Logger,
  type Metrics,
  type RandomSource,
  type Service,
} from '@bayspool/kernel';
import type {ConfigurationStore} from './configuration_store.js';
import {configurationStream} from './configuration_stream.js';
import {ConfigurationReader} from './configuration_reader.js';

interface Options {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly log: Log;
  readonly sealer: Sealer;
  readonly store: ConfigurationStore;
  readonly freshness: LogFreshness;
  /** Long-poll timeout of one read of the log, in ms. */
  readonly pollMs: number;
  /** Appended when the log has never held a record. */
  readonly seed?: Seed;
  readonly onSnapshot: (upTo: number) => void;
}

const MIN_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 5_000;
const MAX_SEED_DELAY_MS = 200;

/** Tails the log's configuration stream and applies each record to the store. */
export class ConfigurationFollower implements Service {
  readonly name = 'configuration follower';
  private readonly stopping = new AbortController();
  private readonly reader: ConfigurationReader;
  private readonly backoff: Backoff;
  private nextOffset = 0;
  private loop: Promise<void> = Promise.resolve();

  constructor(private readonly options: Options) {
    const {random, metrics, logger} = options;
    const refused = metrics.counter(
      'log_records_refused_total',
      'Log records that were corrupt, forged or malformed.',
      ['why'],
    );
    this.backoff = new Backoff({
      random,
      initialMs: MIN_BACKOFF_MS,
      maxMs: MAX_BACKOFF_MS,
    });
    this.reader = new ConfigurationReader({
      sealer: options.sealer,
      onSnapshot: options.onSnapshot,
      onRefused: (offset, why) => {
        refused.inc({why});
        logger.warn('log record refused', {
          stream: configurationStream,
          offset,
          why,
        });
      },
    });
    const {store} = options;
    metrics.observe(
      'configuration_offset',
      'Offset of the configuration in force.',
      () => store.current.offset,
    );
    metrics.observe(
      'configuration_age_seconds',
      'Time since somebody read the log to its end; -1 before.',
      () => {
        const age = options.freshness.computeAgeMs();
        return Number.isFinite(age) ? age / 1_000 : -1;
      },
    );
  }

  async start(): Promise<void> {
    this.loop = this.run();
  }

  async stop(): Promise<void> {
    this.stopping.abort();
    await this.loop;
  }

  /**
   * Applies a peer's state and continues to read after it. Returns false when the
   * state is not newer or does not join up with the records already read.
   */
  applyPeerState(state: Configuration): boolean {
    const {store} = this.options;
    if (
      state.offset <= store.current.offset ||
      !this.reader.discardCovered(state)
    )
      return false;
    store.advance(this.reader.foldPending(state));
    this.nextOffset = Math.max(this.nextOffset, store.current.offset + 1);
    return true;
  }

  private async run(): Promise<void> {
    while (!this.stopping.signal.aborted) {
      try {
        const {store, pollMs} = this.options;
        const waitMs = store.isReady ? pollMs : 0;
        await this.readPage(waitMs, this.stopping.signal);
        this.backoff.reset();
      } catch (error) {
        if (this.stopping.signal.aborted) return;
        this.options.logger.warn('log read failed', {
          stream: configurationStream,
          error: String(error),
        });
        await sleep(
          this.options.clock,
          this.backoff.nextDelayMs(),
          this.stopping.signal,
        );
      }
    }
  }

  /** Reads the log once, concurrently with the loop, without waiting for a record. */
  async readOnce(timeoutMs: number): Promise<void> {
    const timeout = timeoutSignal(this.options.clock, timeoutMs);
    try {
      await this.readPage(0, timeout.signal);
    } finally {
      timeout.cancel();
    }
  }

  private async readPage(waitMs: number, signal: AbortSignal): Promise<void> {
    const {clock, log, store, freshness} = this.options;
    const sentAt = clock.now();
    const from = this.nextOffset;
    const page = await log.read(configurationStream, from, {waitMs, signal});
    if (page.next < from) {
      this.options.logger.error('the log ends before what was read from it', {
        position: this.nextOffset,
        next: page.next,
      });
      await sleep(clock, MAX_BACKOFF_MS, this.stopping.signal);
      return;
    }
    if (page.next === 0 && !store.isReady) {
      await this.appendSeed();
      return;
    }
    if (page.next < this.nextOffset) return;
    const progress = this.reader.foldPage(store.current, this.nextOffset, page);
    this.nextOffset = progress.nextOffset;
    store.advance(progress.config);
    if (!progress.hasGap && this.nextOffset >= page.next)
      freshness.recordEndRead(sentAt);
    if (progress.hasGap) await this.backOffAtGap();
  }

  private async backOffAtGap(): Promise<void> {
    this.options.logger.warn(
      'records are missing before the oldest one in the log',
      {position: this.nextOffset},
    );
    await sleep(
      this.options.clock,
      this.backoff.nextDelayMs(),
      this.stopping.signal,
    );
  }

  private async appendSeed(): Promise<void> {
    const {clock, random, log, sealer, seed} = this.options;
    await sleep(clock, MAX_SEED_DELAY_MS * random.next(), this.stopping.signal);
    if (!seed) return;
    const page = await log.read(configurationStream, 0, {waitMs: 0});
    if (page.next > 0) return;
    const record = {type: 'seed', id: randomUUID(), seed};
    await log.append(configurationStream, [sealer.seal(record)]);
  }
}
