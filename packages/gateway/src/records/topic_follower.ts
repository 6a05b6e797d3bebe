import {jitter, sleep} from '@bayspool/kernel';
import type {Clock, RandomSource} from '@bayspool/kernel';
import type {EventLog} from '../observability/event_log.js';
import type {RecordStore} from './record_store.js';
import {StoreFailure} from './store_failure.js';
import {StoreFailureKind} from './store_failure_kind.js';
import type {StoreHealth} from './store_health.js';
import type {TopicMirror} from './topic_mirror.js';

interface Options {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly store: RecordStore;
  readonly health: StoreHealth;
  readonly mirror: TopicMirror;
  readonly log: EventLog;
  /** Long-poll timeout of the next call, in ms. */
  readonly longPollMs: () => number;
  /** Whether this host currently reads the topic from the store. */
  readonly shouldRead: () => boolean;
  /** Resolves when the result of `shouldRead` may have changed. */
  readonly waitUntilReader: () => Promise<void>;
}

/** Backoff after the first failed call, in ms; doubles with each consecutive failure. */
const MIN_BACKOFF_MS = 120;
/** Upper bound of the backoff, in ms. */
const MAX_BACKOFF_MS = 1_000;
/** Pause between two reads, in ms, so that a busy topic is read in batches. */
const READ_PAUSE_MS = 60;

/** Keeps the mirror of one topic up to date from the store while this host has to read it. */
export class TopicFollower {
  private isStopped = false;
  private consecutiveFailures = 0;

  constructor(private readonly options: Options) {}

  /** Starts to read the topic. */
  start(): void {
    void this.run();
  }

  /** Stops reading. */
  stop(): void {
    this.isStopped = true;
  }

  private async run(): Promise<void> {
    const {shouldRead, waitUntilReader} = this.options;
    while (!this.isStopped) {
      if (shouldRead()) await this.readOnce();
      else await waitUntilReader();
    }
  }

  private async readOnce(): Promise<void> {
    const {clock, health} = this.options;
    try {
      await this.readNextPage();
      health.recordSuccess();
      this.consecutiveFailures = 0;
      await sleep(clock, READ_PAUSE_MS);
    } catch (error) {
      await this.handleFailure(error);
    }
  }

  private async readNextPage(): Promise<void> {
    const {clock, store, mirror, longPollMs} = this.options;
    if (!mirror.isLoaded) return this.reload();
    const {topic, next: from} = mirror;
    const asOf = clock.now();
    const page = await store.readFrom({topic, from, waitMs: longPollMs()});
    mirror.extend(page, asOf);
  }

  private async reload(): Promise<void> {
    const {clock, store, mirror} = this.options;
    const asOf = clock.now();
    mirror.load(await store.readNewest(mirror.topic), asOf);
  }

  private async handleFailure(error: unknown): Promise<void> {
    const {clock, random, mirror, health, log} = this.options;
    const failure =
      error instanceof StoreFailure
        ? error
        : new StoreFailure(StoreFailureKind.UNREADABLE, String(error));
    if (failure.kind === StoreFailureKind.TRIMMED) {
      log.write('topic_reloaded', {topic: mirror.topic, position: mirror.next});
      try {
        return await this.reload();
      } catch (second) {
        health.recordFailure(String(second));
      }
    }
    health.recordFailure(failure.message);
    const pause = Math.min(
      MAX_BACKOFF_MS,
      MIN_BACKOFF_MS * 2 ** this.consecutiveFailures,
    );
    this.consecutiveFailures += 1;
    await sleep(clock, jitter(random, pause));
  }
}
