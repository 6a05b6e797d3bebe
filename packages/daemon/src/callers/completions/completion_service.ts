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
  /** How long a held answer waits for its rating, in ms. */
  readonly ratingWaitMs: number;
  /** The part of answers handed in for rating when nothing asks for it. */
  readonly ratingSampleRate: number;
}

const THOUSAND = 1_000;

/** Answers requests: chooses versions, runs the legs of a cascade, bills once, and has answers rated. */
export class CompletionService {
  private readonly planner: CascadePlanner;

  constructor(private readonly options: Options) {
    this.planner = new CascadePlanner(options);
  }

  /** Gives the answer once its first part is there; problems before that are thrown. */
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

  /** Runs a leg that is followed by another: its answer is held, and given only when rated good. */
  private async runGatedLeg(
    request: CompletionRequest,
    leg: CascadeLeg,
    done: readonly CascadeLeg[],
  ): Promise<StartedCompletion | undefined> {
    const parts = await this.collectEvents(request, leg);
    const good = await this.options.tracing.run('rating', request.trace, () =>
      this.requestRating(request, leg, this.options.ratingWaitMs),
    );
    if (good !== true) return undefined;
    await this.options.billRecorder.record(
      this.createBill(request, done, true),
    );
    return this.createStartedCompletion(request, leg, replay(parts));
  }

  private async startFinalLeg(
    request: CompletionRequest,
    leg: CascadeLeg,
    done: readonly CascadeLeg[],
  ): Promise<StartedCompletion> {
    const startedAt = this.options.clock.now();
    const parts = this.options.legRunner.run(request, leg);
    this.recordExposure(leg);
    const first = await this.awaitFirstEvent(parts, leg);
    const rest = this.relayRest(request, leg, done, parts, startedAt);
    return this.createStartedCompletion(request, leg, prepend(first, rest));
  }

  private async awaitFirstEvent(
    parts: AsyncGenerator<CompletionEvent>,
    leg: CascadeLeg,
  ): Promise<CompletionEvent> {
    try {
      const first = await parts.next();
      return first.value as CompletionEvent;
    } catch (error) {
      this.options.ratingTracker.cancelExposure(leg.version.id, leg.ratingId);
      throw error;
    }
  }

  /** Passes the rest on; the bill stands on a second host before the final part is released. */
  private async *relayRest(
    request: CompletionRequest,
    leg: CascadeLeg,
    done: readonly CascadeLeg[],
    parts: AsyncGenerator<CompletionEvent>,
    startedAt: number,
  ): AsyncGenerator<CompletionEvent> {
    let whole = false;
    try {
      for await (const part of parts) {
        if (part.kind === 'final') {
          whole = true;
          this.options.completionTimes.recordDuration(
            leg.version.id,
            this.options.clock.now() - startedAt,
          );
          await this.options.billRecorder.record(
            this.createBill(request, done, true),
          );
        }
        yield part;
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
    const parts: CompletionEvent[] = [];
    this.recordExposure(leg);
    try {
      for await (const part of this.options.legRunner.run(request, leg))
        parts.push(part);
    } catch (error) {
      this.options.ratingTracker.cancelExposure(leg.version.id, leg.ratingId);
      throw error;
    }
    this.options.completionTimes.recordDuration(
      leg.version.id,
      this.options.clock.now() - startedAt,
    );
    return parts;
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
    const wanted =
      leg.version.rollOut !== undefined ||
      this.options.random.next() < this.options.ratingSampleRate;
    if (wanted) void this.requestRating(request, leg, 0);
  }

  private recordIncomplete(
    request: CompletionRequest,
    leg: CascadeLeg,
    done: readonly CascadeLeg[],
  ): void {
    this.options.ratingTracker.cancelExposure(leg.version.id, leg.ratingId);
    this.billPartial(request, done);
  }

  /** What ran is billed although the caller did not get the whole answer. */
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
    parts: AsyncIterable<CompletionEvent>,
  ): StartedCompletion {
    const createdAt = Math.floor(this.options.clock.wall() / THOUSAND);
    return {
      version: leg.version,
      sealedSession: this.sealSession(request, leg),
      createdAt,
      events: parts,
    };
  }

  private sealSession(request: CompletionRequest, leg: CascadeLeg): string {
    const {sessionSealer: sessions, store, clock} = this.options;
    return sessions.seal(
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
  parts: readonly CompletionEvent[],
): AsyncGenerator<CompletionEvent> {
  yield* parts;
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
