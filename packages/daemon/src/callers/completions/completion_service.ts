import {randomUUID} from 'node:crypto';
import type {
  Bill,
  CascadePolicy,
  Membership,
  SessionSealer,
} from '@bayspool/decisions';
import type {Clock, RandomSource, Tracing} from '@bayspool/kernel';
import type {BillRecorder} from '../../billing/bill_recorder.js';
import {createBillBacklogProblem} from '../create_bill_backlog_problem.js';
import type {ConfigurationStore} from '../../configuration/configuration_store.js';
import type {VersionRatingTracker} from '../../ratings/version_rating_tracker.js';
import type {RatingCollector} from '../../ratings/rating_collector.js';
import type {RunnerPool} from '../../runners/runner_pool.js';
import type {CompletionEvent} from './completion_event.js';
import type {CompletionRequest} from './completion_request.js';
import type {CompletionTimeEstimator} from './completion_time_estimator.js';
import type {CascadeLeg} from './cascade_leg.js';
import {CascadePlanner} from './cascade_planner.js';
import type {CascadeLegRunner} from './cascade_leg_runner.js';
import type {StartedCompletion} from './started_completion.js';
import type {StalenessGuard} from '../../configuration/staleness_guard.js';

interface Options {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly tracing: Tracing;
  readonly store: ConfigurationStore;
  readonly membership: Membership;
  readonly stalenessGuard: StalenessGuard;
  readonly pool: RunnerPool;
  readonly legRunner: CascadeLegRunner;
  readonly cascadePolicy: CascadePolicy;
  readonly completionTimes: CompletionTimeEstimator;
  readonly ratingCollector: RatingCollector;
  readonly ratingTracker: VersionRatingTracker;
  readonly billRecorder: BillRecorder;
  readonly sessionSealer: SessionSealer;
  /** How long an answer is held back for its rating, in ms. */
  readonly ratingWaitMs: number;
  /** The fraction of answers that are sampled for rating when no rating is required. */
  readonly ratingSampleRate: number;
}

const THOUSAND = 1_000;

/** Serves completions: chooses versions, runs the legs of the cascade, records one bill per request and submits answers for rating. */
export class CompletionService {
  private readonly planner: CascadePlanner;

  constructor(private readonly options: Options) {
    this.planner = new CascadePlanner(options);
  }

  /** Resolves once the first event of the completion is available; earlier failures are thrown. */
  async start(request: CompletionRequest): Promise<StartedCompletion> {
    if (!this.options.billRecorder.hasCapacity())
      throw createBillBacklogProblem();
    await this.options.stalenessGuard.refreshIfStale();
    const legs = this.planner.plan(request);
    const done: CascadeLeg[] = [];
    try {
      for (const leg of legs) {
        done.push(leg);
        const isLast = leg === legs[legs.length - 1];
        const started = isLast
          ? await this.startFinalLeg(request, leg, done)
          : await this.runGatedLeg(request, leg, done);
        if (started) return started;
      }
    } catch (error) {
      this.billPartial(request, done);
      throw error;
    }
    throw new Error('a cascade has at least one leg');
  }

  /** Runs a leg that is not the last: its answer is held back and returned only when it is rated good. */
  private async runGatedLeg(
    request: CompletionRequest,
    leg: CascadeLeg,
    done: readonly CascadeLeg[],
  ): Promise<StartedCompletion | undefined> {
    const events = await this.collectEvents(request, leg);
    const good = await this.options.tracing.run('rating', request.trace, () =>
      this.requestRating(request, leg, this.options.ratingWaitMs),
    );
    if (good !== true) return undefined;
    await this.options.billRecorder.record(
      this.createBill(request, done, true),
    );
    return this.createStartedCompletion(request, leg, replay(events));
  }

  private async startFinalLeg(
    request: CompletionRequest,
    leg: CascadeLeg,
    done: readonly CascadeLeg[],
  ): Promise<StartedCompletion> {
    const startedAt = this.options.clock.now();
    const events = this.options.legRunner.run(request, leg);
    this.recordExposure(leg);
    const first = await this.awaitFirstEvent(events, leg);
    const rest = this.relayRest(request, leg, done, events, startedAt);
    return this.createStartedCompletion(request, leg, prepend(first, rest));
  }

  private async awaitFirstEvent(
    events: AsyncGenerator<CompletionEvent>,
    leg: CascadeLeg,
  ): Promise<CompletionEvent> {
    try {
      const first = await events.next();
      return first.value as CompletionEvent;
    } catch (error) {
      this.options.ratingTracker.cancelExposure(leg.version.id, leg.ratingId);
      throw error;
    }
  }

  /** Relays the remaining events; the bill is replicated to a second host before the final event is yielded. */
  private async *relayRest(
    request: CompletionRequest,
    leg: CascadeLeg,
    done: readonly CascadeLeg[],
    events: AsyncGenerator<CompletionEvent>,
    startedAt: number,
  ): AsyncGenerator<CompletionEvent> {
    let whole = false;
    try {
      for await (const event of events) {
        if (event.kind === 'final') {
          whole = true;
          this.options.completionTimes.recordDuration(
            leg.version.id,
            this.options.clock.now() - startedAt,
          );
          await this.options.billRecorder.record(
            this.createBill(request, done, true),
          );
        }
        yield event;
      }
    } finally {
      if (whole) this.rateIfSampled(request, leg);
      else this.recordIncomplete(request, leg, done);
    }
  }

  private async collectEvents(
    request: CompletionRequest,
    leg: CascadeLeg,
  ): Promise<CompletionEvent[]> {
    const startedAt = this.options.clock.now();
    const events: CompletionEvent[] = [];
    this.recordExposure(leg);
    try {
      for await (const event of this.options.legRunner.run(request, leg))
        events.push(event);
    } catch (error) {
      this.options.ratingTracker.cancelExposure(leg.version.id, leg.ratingId);
      throw error;
    }
    this.options.completionTimes.recordDuration(
      leg.version.id,
      this.options.clock.now() - startedAt,
    );
    return events;
  }

  private recordExposure(leg: CascadeLeg): void {
    if (leg.version.rollOut)
      this.options.ratingTracker.recordExposure(leg.version.id, leg.ratingId);
  }

  private requestRating(
    request: CompletionRequest,
    leg: CascadeLeg,
    waitMs: number,
  ): Promise<boolean | undefined> {
    this.options.ratingTracker.recordExposure(leg.version.id, leg.ratingId);
    return this.options.ratingCollector.requestRating(
      {
        requestId: leg.ratingId,
        version: leg.version.id,
        task: request.taskName,
        workspace: request.workspace.id,
        answer: leg.text,
      },
      waitMs,
    );
  }

  private rateIfSampled(request: CompletionRequest, leg: CascadeLeg): void {
    const isSampled =
      leg.version.rollOut !== undefined ||
      this.options.random.next() < this.options.ratingSampleRate;
    if (isSampled) void this.requestRating(request, leg, 0);
  }

  private recordIncomplete(
    request: CompletionRequest,
    leg: CascadeLeg,
    done: readonly CascadeLeg[],
  ): void {
    this.options.ratingTracker.cancelExposure(leg.version.id, leg.ratingId);
    this.billPartial(request, done);
  }

  /** Bills the tokens that were generated although the caller did not receive the complete answer. */
  private billPartial(
    request: CompletionRequest,
    done: readonly CascadeLeg[],
  ): void {
    if (done.some(leg => leg.tokens > 0))
      void this.options.billRecorder.record(
        this.createBill(request, done, false),
      );
  }

  private createBill(
    request: CompletionRequest,
    done: readonly CascadeLeg[],
    whole: boolean,
  ): Bill {
    return {
      type: 'bill',
      id: request.billId,
      workspace: request.workspace.id,
      task: request.taskName,
      whole,
      legs: done
        .filter(leg => leg.tokens > 0)
        .map(leg => ({
          version: leg.version.id,
          promptTokens: leg.usage?.promptTokens ?? 0,
          completionTokens: leg.tokens,
          cost: (leg.tokens * leg.version.cost) / THOUSAND,
        })),
    };
  }

  private createStartedCompletion(
    request: CompletionRequest,
    leg: CascadeLeg,
    events: AsyncIterable<CompletionEvent>,
  ): StartedCompletion {
    const createdAt = Math.floor(this.options.clock.wall() / THOUSAND);
    return {
      version: leg.version,
      sealedSession: this.sealSession(request, leg),
      createdAt,
      events,
    };
  }

  private sealSession(request: CompletionRequest, leg: CascadeLeg): string {
    const {sessionSealer, store, clock} = this.options;
    return sessionSealer.seal(
      request.session ?? {
        id: randomUUID(),
        workspace: request.workspace.id,
        version: leg.version.id,
        offset: store.current.offset,
        startedAt: Math.round(clock.wall()),
      },
    );
  }
}

async function* replay(
  events: readonly CompletionEvent[],
): AsyncGenerator<CompletionEvent> {
  yield* events;
}

async function* prepend(
  first: CompletionEvent,
  rest: AsyncGenerator<CompletionEvent>,
): AsyncGenerator<CompletionEvent> {
  try {
    yield first;
    yield* rest;
  } finally {
    await rest.return(undefined);
  }
}
