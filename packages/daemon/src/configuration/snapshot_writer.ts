import {randomUUID} from 'node:crypto';
import {computeStateDigest, type Log, type Sealer} from '@bayspool/decisions';
import {
  jitter,
  sleep,
  type Clock,
  type Logger,
  type RandomSource,
  type Service,
} from '@bayspool/kernel';
import type {ConfigurationStore} from './configuration_store.js';
import {configurationStream} from './configuration_stream.js';

interface Options {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly log: Log;
  readonly sealer: Sealer;
  readonly store: ConfigurationStore;
  /** Maximum age of the newest snapshot, in ms; has to be well within the log's retention. */
  readonly maxAgeMs: number;
}

const CHECKS_PER_MAX_AGE = 10;

/**
 * Appends a snapshot when the newest one read is too old. Every host waits a random
 * extra time and skips it when another host was first; duplicates are harmless.
 */
export class SnapshotWriter implements Service {
  readonly name = 'snapshot writer';
  private readonly stopping = new AbortController();
  private lastSnapshotAt: number;
  private loop: Promise<void> = Promise.resolve();

  constructor(private readonly options: Options) {
    this.lastSnapshotAt = options.clock.now();
  }

  /** Records that a snapshot was read from the log. */
  recordSnapshot(): void {
    this.lastSnapshotAt = this.options.clock.now();
  }

  async start(): Promise<void> {
    this.loop = this.run();
  }

  async stop(): Promise<void> {
    this.stopping.abort();
    await this.loop;
  }

  private async run(): Promise<void> {
    const {clock, random, maxAgeMs} = this.options;
    for (;;) {
      await sleep(
        clock,
        jitter(random, maxAgeMs / CHECKS_PER_MAX_AGE),
        this.stopping.signal,
      );
      if (this.stopping.signal.aborted) return;
      const isDue =
        clock.now() - this.lastSnapshotAt >= maxAgeMs * (1 + random.next() / 2);
      if (isDue && this.options.store.isReady) await this.appendSnapshot();
    }
  }

  private async appendSnapshot(): Promise<void> {
    const {log, sealer, store, logger} = this.options;
    const state = store.current;
    const record = {
      type: 'snapshot',
      id: randomUUID(),
      upTo: state.offset,
      digest: computeStateDigest(state),
      state,
    };
    try {
      await log.append(configurationStream, [sealer.seal(record)]);
      this.recordSnapshot();
      logger.info('snapshot appended', {upTo: state.offset});
    } catch (error) {
      logger.warn('snapshot append failed', {error: String(error)});
    }
  }
}
