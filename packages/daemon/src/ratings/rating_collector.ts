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
import type {VersionRatingTracker} from './version_rating_tracker.js';

interface Options {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Absent when the platform has no rating service. */
  readonly ratingService: RatingService | undefined;
  readonly ratingTracker: VersionRatingTracker;
  /** Names this process at the rating service. */
  readonly consumerId: string;
  /** How long one read waits for a result, in ms. */
  readonly longPollMs: number;
  /** After this time a rating counts half, in ms. */
  readonly halfLifeMs: number;
  /** A rating that did not come for this long counts as lost, in ms. */
  readonly lostAfterMs: number;
}

interface PendingRating {
  readonly sample: Omit<RatingSample, 'host' | 'answer'>;
  readonly since: number;
  readonly tell: (good: boolean) => void;
}

const INITIAL_BACKOFF_MS = 200;
const MAX_BACKOFF_MS = 5_000;

/** Hands answers in for rating and learns from the results. */
export class RatingCollector implements Service {
  readonly name = 'rating book';
  private readonly stopping = new AbortController();
  private readonly pendingByRequest = new Map<string, PendingRating>();
  private readonly estimates = new Map<string, PassRateEstimate>();
  private readonly ratingsTotal: Counter<'version' | 'result'>;
  private lastPosition = 0;
  private loop: Promise<void> = Promise.resolve();

  constructor(private readonly options: Options) {
    this.ratingsTotal = options.metrics.counter(
      'ratings_total',
      'Ratings received.',
      ['version', 'result'],
    );
  }

  /** The pass probability of a version at a task of a workspace. */
  getEstimate(
    workspace: string,
    task: string,
    version: string,
  ): PassRateEstimate {
    const key = `${workspace}/${task}/${version}`;
    let estimate = this.estimates.get(key);
    if (!estimate) {
      estimate = new PassRateEstimate({halfLifeMs: this.options.halfLifeMs});
      this.estimates.set(key, estimate);
    }
    return estimate;
  }

  /** Hands an answer in; gives the rating if it comes within `waitMs`. */
  async requestRating(
    sample: Omit<RatingSample, 'host'>,
    waitMs: number,
  ): Promise<boolean | undefined> {
    const {ratingService: rating, clock, consumerId: mailbox} = this.options;
    if (!rating) return undefined;
    const {answer, ...rest} = sample;
    const result = new Promise<boolean | undefined>(resolve => {
      const timer = clock.after(waitMs, () => resolve(undefined));
      const tell = (good: boolean) => {
        timer.cancel();
        resolve(good);
      };
      this.pendingByRequest.set(sample.requestId, {
        sample: rest,
        since: clock.now(),
        tell,
      });
    });
    try {
      await rating.submit({...rest, answer, host: mailbox});
    } catch (error) {
      this.pendingByRequest.delete(sample.requestId);
      this.options.ratingTracker.cancelExposure(
        sample.version,
        sample.requestId,
      );
      this.options.logger.debug('answer not handed in for rating', {
        error: String(error),
      });
      return undefined;
    }
    return result;
  }

  async start(): Promise<void> {
    this.loop = this.pollResults();
  }

  async stop(): Promise<void> {
    this.stopping.abort();
    await this.loop;
  }

  private async pollResults(): Promise<void> {
    const {
      ratingService: rating,
      random,
      clock,
      logger,
      longPollMs: pollMs,
      consumerId: mailbox,
    } = this.options;
    if (!rating) return;
    const backoff = new Backoff({
      random,
      initialMs: INITIAL_BACKOFF_MS,
      maxMs: MAX_BACKOFF_MS,
    });
    while (!this.stopping.signal.aborted) {
      try {
        const results = await rating.fetchResults(
          mailbox,
          this.lastPosition,
          pollMs,
          this.stopping.signal,
        );
        results.forEach(result => this.applyResult(result));
        backoff.reset();
      } catch (error) {
        if (this.stopping.signal.aborted) return;
        logger.debug('ratings not read', {error: String(error)});
        await sleep(clock, backoff.nextDelayMs(), this.stopping.signal);
      }
      this.expirePending();
    }
  }

  private applyResult(result: RatingResult): void {
    if (result.position <= this.lastPosition) return;
    this.lastPosition = result.position;
    const awaited = this.pendingByRequest.get(result.requestId);
    if (!awaited) return;
    this.pendingByRequest.delete(result.requestId);
    const {workspace, task, version} = awaited.sample;
    const requestId = awaited.sample.requestId;
    this.getEstimate(workspace, task, version).addRating(
      result.good,
      this.options.clock.now(),
    );
    this.options.ratingTracker.recordRating(version, requestId, result.good);
    this.ratingsTotal.inc({version, result: result.good ? 'good' : 'bad'});
    awaited.tell(result.good);
  }

  private expirePending(): void {
    const oldest = this.options.clock.now() - this.options.lostAfterMs;
    for (const [key, {since}] of this.pendingByRequest) {
      if (since > oldest) break;
      this.pendingByRequest.delete(key);
    }
  }
}
