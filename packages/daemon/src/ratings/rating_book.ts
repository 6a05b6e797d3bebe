import {
  Backoff,
  PassRateEstimate,
  type RatingService,
  type RatingResult,
  type RatingSample,
} from '@bayspool/decisions';
import {
  sleep,
  type Clock,
  type Logger,
  type Metrics,
  type RandomSource,
  type Service,
} from '@bayspool/kernel';
import type {Counter} from 'prom-client';
import type {EvidenceBook} from './evidence_book.js';

interface Options {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Absent when the platform has no rating service. */
  readonly rating: RatingService | undefined;
  readonly evidence: EvidenceBook;
  /** Names this process at the rating service. */
  readonly mailbox: string;
  /** How long one read waits for a result, in ms. */
  readonly pollMs: number;
  /** After this time a rating counts half, in ms. */
  readonly halfLifeMs: number;
  /** A rating that did not come for this long counts as lost, in ms. */
  readonly lostAfterMs: number;
}

interface Awaited {
  readonly sample: Omit<RatingSample, 'host' | 'answer'>;
  readonly since: number;
  readonly tell: (good: boolean) => void;
}

const BACKOFF_FIRST_MS = 200;
const BACKOFF_MOST_MS = 5_000;

/** Hands answers in for rating and learns from the results. */
export class RatingBook implements Service {
  readonly name = 'rating book';
  private readonly stopping = new AbortController();
  private readonly awaited = new Map<string, Awaited>();
  private readonly estimates = new Map<string, PassRateEstimate>();
  private readonly results: Counter<'version' | 'result'>;
  private position = 0;
  private loop: Promise<void> = Promise.resolve();

  constructor(private readonly options: Options) {
    this.results = options.metrics.counter(
      'ratings_total',
      'Ratings received.',
      ['version', 'result'],
    );
  }

  /** The pass probability of a version at a task of a workspace. */
  estimate(workspace: string, task: string, version: string): PassRateEstimate {
    const key = `${workspace}/${task}/${version}`;
    let estimate = this.estimates.get(key);
    if (!estimate) {
      estimate = new PassRateEstimate({halfLifeMs: this.options.halfLifeMs});
      this.estimates.set(key, estimate);
    }
    return estimate;
  }

  /** Hands an answer in; gives the rating if it comes within `waitMs`. */
  async rate(
    sample: Omit<RatingSample, 'host'>,
    waitMs: number,
  ): Promise<boolean | undefined> {
    const {rating, clock, mailbox} = this.options;
    if (!rating) return undefined;
    const {answer, ...rest} = sample;
    const result = new Promise<boolean | undefined>(resolve => {
      const timer = clock.after(waitMs, () => resolve(undefined));
      const tell = (good: boolean) => {
        timer.cancel();
        resolve(good);
      };
      this.awaited.set(sample.requestId, {
        sample: rest,
        since: clock.now(),
        tell,
      });
    });
    try {
      await rating.submit({...rest, answer, host: mailbox});
    } catch (error) {
      this.awaited.delete(sample.requestId);
      this.options.evidence.dropped(sample.version, sample.requestId);
      this.options.logger.debug('answer not handed in for rating', {
        error: String(error),
      });
      return undefined;
    }
    return result;
  }

  async start(): Promise<void> {
    this.loop = this.run();
  }

  async stop(): Promise<void> {
    this.stopping.abort();
    await this.loop;
  }

  private async run(): Promise<void> {
    const {rating, random, clock, logger, pollMs, mailbox} = this.options;
    if (!rating) return;
    const backoff = new Backoff({
      random,
      initialMs: BACKOFF_FIRST_MS,
      maxMs: BACKOFF_MOST_MS,
    });
    while (!this.stopping.signal.aborted) {
      try {
        const results = await rating.fetchResults(
          mailbox,
          this.position,
          pollMs,
          this.stopping.signal,
        );
        results.forEach(result => this.take(result));
        backoff.reset();
      } catch (error) {
        if (this.stopping.signal.aborted) return;
        logger.debug('ratings not read', {error: String(error)});
        await sleep(clock, backoff.nextDelayMs(), this.stopping.signal);
      }
      this.expire();
    }
  }

  private take(result: RatingResult): void {
    if (result.position <= this.position) return;
    this.position = result.position;
    const awaited = this.awaited.get(result.requestId);
    if (!awaited) return;
    this.awaited.delete(result.requestId);
    const {workspace, task, version} = awaited.sample;
    const requestId = awaited.sample.requestId;
    this.estimate(workspace, task, version).addRating(
      result.good,
      this.options.clock.now(),
    );
    this.options.evidence.rated(version, requestId, result.good);
    this.results.inc({version, result: result.good ? 'good' : 'bad'});
    awaited.tell(result.good);
  }

  private expire(): void {
    const oldest = this.options.clock.now() - this.options.lostAfterMs;
    for (const [key, {since}] of this.awaited) {
      if (since > oldest) break;
      this.awaited.delete(key);
    }
  }
}
