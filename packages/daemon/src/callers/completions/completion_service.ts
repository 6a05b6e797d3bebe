import {randomUUID} from 'node:crypto';
import type {
  Bill,
  CascadePolicy,
  Membership,
  SessionSealer,
} from '@bayspool/decisions';
import type {Clock, RandomSource, Tracing} from '@bayspool/kernel';
import type {BillRecorder} from '../../billing/bill_recorder.js';
import {noRoomForBills} from '../no_room_for_bills.js';
import type {ConfigurationStore} from '../../configuration/configuration_store.js';
import type {EvidenceBook} from '../../ratings/evidence_book.js';
import type {RatingBook} from '../../ratings/rating_book.js';
import type {RunnerPool} from '../../runners/runner_pool.js';
import type {AnswerPart} from './answer_part.js';
import type {CompletionRequest} from './completion_request.js';
import type {DurationBook} from './duration_book.js';
import type {Leg} from './leg.js';
import {LegPlanner} from './leg_planner.js';
import type {LegRunner} from './leg_runner.js';
import type {OpenCompletion} from './open_completion.js';
import type {StalenessGuard} from '../../configuration/staleness_guard.js';

interface Options {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly tracing: Tracing;
  readonly store: ConfigurationStore;
  readonly membership: Membership;
  readonly staleness: StalenessGuard;
  readonly pool: RunnerPool;
  readonly legRunner: LegRunner;
  readonly cascade: CascadePolicy;
  readonly durations: DurationBook;
  readonly ratings: RatingBook;
  readonly evidence: EvidenceBook;
  readonly bills: BillRecorder;
  readonly sessions: SessionSealer;
  /** How long a held answer waits for its rating, in ms. */
  readonly ratingWaitMs: number;
  /** The part of answers handed in for rating when nothing asks for it. */
  readonly ratingSample: number;
}

const THOUSAND = 1_000;

/** Answers requests: chooses versions, runs the legs of a cascade, bills once, and has answers rated. */
export class CompletionService {
  private readonly planner: LegPlanner;

  constructor(private readonly options: Options) {
    this.planner = new LegPlanner(options);
  }

  /** Gives the answer once its first part is there; problems before that are thrown. */
  async open(request: CompletionRequest): Promise<OpenCompletion> {
    if (!this.options.bills.hasCapacity()) throw noRoomForBills();
    await this.options.staleness.refreshIfStale();
    const legs = this.planner.plan(request);
    const done: Leg[] = [];
    try {
      for (const leg of legs) {
        done.push(leg);
        const isLast = leg === legs[legs.length - 1];
        const opened = isLast
          ? await this.openLast(request, leg, done)
          : await this.tryHeld(request, leg, done);
        if (opened) return opened;
      }
    } catch (error) {
      this.billUnfinished(request, done);
      throw error;
    }
    throw new Error('a cascade has at least one leg');
  }

  /** Runs a leg that is followed by another: its answer is held, and given only when rated good. */
  private async tryHeld(
    request: CompletionRequest,
    leg: Leg,
    done: readonly Leg[],
  ): Promise<OpenCompletion | undefined> {
    const parts = await this.collect(request, leg);
    const good = await this.options.tracing.run('rating', request.trace, () =>
      this.rate(request, leg, this.options.ratingWaitMs),
    );
    if (good !== true) return undefined;
    await this.options.bills.record(this.billOf(request, done, true));
    return this.opened(request, leg, replay(parts));
  }

  private async openLast(
    request: CompletionRequest,
    leg: Leg,
    done: readonly Leg[],
  ): Promise<OpenCompletion> {
    const startedAt = this.options.clock.now();
    const parts = this.options.legRunner.run(request, leg);
    this.noteExposure(leg);
    const first = await this.firstOf(parts, leg);
    const rest = this.finish(request, leg, done, parts, startedAt);
    return this.opened(request, leg, chain(first, rest));
  }

  private async firstOf(
    parts: AsyncGenerator<AnswerPart>,
    leg: Leg,
  ): Promise<AnswerPart> {
    try {
      const first = await parts.next();
      return first.value as AnswerPart;
    } catch (error) {
      this.options.evidence.dropped(leg.version.id, leg.ratingId);
      throw error;
    }
  }

  /** Passes the rest on; the bill stands on a second host before the final part is released. */
  private async *finish(
    request: CompletionRequest,
    leg: Leg,
    done: readonly Leg[],
    parts: AsyncGenerator<AnswerPart>,
    startedAt: number,
  ): AsyncGenerator<AnswerPart> {
    let whole = false;
    try {
      for await (const part of parts) {
        if (part.kind === 'final') {
          whole = true;
          this.options.durations.took(
            leg.version.id,
            this.options.clock.now() - startedAt,
          );
          await this.options.bills.record(this.billOf(request, done, true));
        }
        yield part;
      }
    } finally {
      if (whole) this.rateLater(request, leg);
      else this.abandon(request, leg, done);
    }
  }

  private async collect(
    request: CompletionRequest,
    leg: Leg,
  ): Promise<AnswerPart[]> {
    const startedAt = this.options.clock.now();
    const parts: AnswerPart[] = [];
    this.noteExposure(leg);
    try {
      for await (const part of this.options.legRunner.run(request, leg))
        parts.push(part);
    } catch (error) {
      this.options.evidence.dropped(leg.version.id, leg.ratingId);
      throw error;
    }
    this.options.durations.took(
      leg.version.id,
      this.options.clock.now() - startedAt,
    );
    return parts;
  }

  private noteExposure(leg: Leg): void {
    if (leg.version.rollOut)
      this.options.evidence.opened(leg.version.id, leg.ratingId);
  }

  private rate(
    request: CompletionRequest,
    leg: Leg,
    waitMs: number,
  ): Promise<boolean | undefined> {
    this.options.evidence.opened(leg.version.id, leg.ratingId);
    return this.options.ratings.rate(
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

  private rateLater(request: CompletionRequest, leg: Leg): void {
    const wanted =
      leg.version.rollOut !== undefined ||
      this.options.random.next() < this.options.ratingSample;
    if (wanted) void this.rate(request, leg, 0);
  }

  private abandon(
    request: CompletionRequest,
    leg: Leg,
    done: readonly Leg[],
  ): void {
    this.options.evidence.dropped(leg.version.id, leg.ratingId);
    this.billUnfinished(request, done);
  }

  /** What ran is billed although the caller did not get the whole answer. */
  private billUnfinished(
    request: CompletionRequest,
    done: readonly Leg[],
  ): void {
    if (done.some(leg => leg.tokens > 0))
      void this.options.bills.record(this.billOf(request, done, false));
  }

  private billOf(
    request: CompletionRequest,
    done: readonly Leg[],
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

  private opened(
    request: CompletionRequest,
    leg: Leg,
    parts: AsyncIterable<AnswerPart>,
  ): OpenCompletion {
    const createdAt = Math.floor(this.options.clock.wall() / THOUSAND);
    return {
      version: leg.version,
      session: this.sessionOf(request, leg),
      createdAt,
      parts,
    };
  }

  private sessionOf(request: CompletionRequest, leg: Leg): string {
    const {sessions, store, clock} = this.options;
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
  parts: readonly AnswerPart[],
): AsyncGenerator<AnswerPart> {
  yield* parts;
}

async function* chain(
  first: AnswerPart,
  rest: AsyncGenerator<AnswerPart>,
): AsyncGenerator<AnswerPart> {
  try {
    yield first;
    yield* rest;
  } finally {
    await rest.return(undefined);
  }
}
