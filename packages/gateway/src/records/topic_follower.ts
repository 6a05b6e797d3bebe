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
  /** How long the next call may wait for a record, in ms. */
  readonly waitMs: () => number;
  /** Whether this host reads the topic now. */
  readonly isWanted: () => boolean;
  /** Resolves when that may have changed. */
  readonly waitWanted: () => Promise<void>;
}

/** Pause after a failed call, in ms; doubled with each one in a row. */
const RETRY_MS = 120;
/** Longest such pause, in ms. */
const MAX_RETRY_MS = 1_000;
/** Least pause between two calls of a topic, so that a busy topic is read in batches, in ms. */
const MIN_GAP_MS = 60;

/** Keeps the copy of one topic up to date from the store while it is wanted. */
export class TopicFollower {
  private stopped = false;
  private failures = 0;

  constructor(private readonly options: Options) {}

  /** Reads the topic from now on. */
  start(): void {
    void this.run();
  }

  /** Stops reading. */
  stop(): void {
    this.stopped = true;
  }

  private async run(): Promise<void> {
    const {isWanted, waitWanted} = this.options;
    while (!this.stopped) {
      if (isWanted()) await this.readOnce();
      else await waitWanted();
    }
  }

  private async readOnce(): Promise<void> {
    const {clock, health} = this.options;
    try {
      await this.read();
      health.noteSuccess();
      this.failures = 0;
      await sleep(clock, MIN_GAP_MS);
    } catch (error) {
      await this.handle(error);
    }
  }

  private async read(): Promise<void> {
    const {clock, store, mirror, waitMs} = this.options;
    if (!mirror.isLoaded) return this.reload();
    const {topic, next: from} = mirror;
    const asOf = clock.now();
    const page = await store.readFrom({topic, from, waitMs: waitMs()});
    mirror.extend(page, asOf);
  }

  private async reload(): Promise<void> {
    const {clock, store, mirror} = this.options;
    const asOf = clock.now();
    mirror.load(await store.readNewest(mirror.topic), asOf);
  }

  private async handle(error: unknown): Promise<void> {
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
        health.noteFailure(String(second));
      }
    }
    health.noteFailure(failure.message);
    const pause = Math.min(MAX_RETRY_MS, RETRY_MS * 2 ** this.failures);
    this.failures += 1;
    await sleep(clock, jitter(random, pause));
  }
}
