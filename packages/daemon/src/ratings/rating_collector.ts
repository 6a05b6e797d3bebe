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
  /** Undefined when the platform has no rating service. */
  readonly ratingService: RatingService | undefined;
  readonly ratingTracker: VersionRatingTracker;
  /** Identifies this process at the rating service; results are fetched under it. */
  readonly consumerId: string;
  /** How long one long poll waits for a result, in ms. */
  readonly longPollMs: number;
  /** The time after which the weight of a rating has halved, in ms. */
  readonly halfLifeMs: number;
  /** A rating that has not arrived after this time counts as lost, in ms. */
  readonly lostAfterMs: number;
}

interface PendingRating {
  readonly sample: Omit<RatingSample, 'host' | 'answer'>;
  readonly since: number;
  readonly tell: (good: boolean) => void;
}

const MIN_BACKOFF_MS = 200;
const MAX_BACKOFF_MS = 5_000;

/** Submits answers for rating and updates the pass rate estimates from the results. */
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

  /** Returns the pass rate estimate of a version for a task of a workspace. */
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

  /** Submits an answer; resolves to its rating if that arrives within `waitMs`. */
  async requestRating(
    sample: Omit<RatingSample, 'host'>,
    waitMs: number,
  ): Promise<boolean | undefined> {
    const {ratingService, clock, consumerId} = this.options;
    if (!ratingService) return undefined;
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
      await ratingService.submit({...rest, answer, host: consumerId});
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
    const {ratingService, random, clock, logger, longPollMs, consumerId} =
      this.options;
    if (!ratingService) return;
    const backoff = new Backoff({
      random,
      initialMs: MIN_BACKOFF_MS,
      maxMs: MAX_BACKOFF_MS,
    });
    while (!this.stopping.signal.aborted) {
      try {
        const results = await ratingService.fetchResults(
          consumerId,
          this.lastPosition,
          longPollMs,
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
    const pending = this.pendingByRequest.get(result.requestId);
    if (!pending) return;
    this.pendingByRequest.delete(result.requestId);
    const {workspace, task, version} = pending.sample;
    const requestId = pending.sample.requestId;
    this.getEstimate(workspace, task, version).addRating(
      result.good,
      this.options.clock.now(),
    );
    this.options.ratingTracker.recordRating(version, requestId, result.good);
    this.ratingsTotal.inc({version, result: result.good ? 'good' : 'bad'});
    pending.tell(result.good);
  }

  private expirePending(): void {
    const expiredBefore = this.options.clock.now() - this.options.lostAfterMs;
    for (const [key, {since}] of this.pendingByRequest) {
      if (since > expiredBefore) break;
      this.pendingByRequest.delete(key);
    }
  }
}
