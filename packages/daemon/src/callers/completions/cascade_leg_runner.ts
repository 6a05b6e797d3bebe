import {
  Backoff,
  findEligibleVersions,
  Outcome,
  resolveServingPlace,
  hashPromptPrefixes,
  RequestFailure,
  RetryBudget,
  RunnerFailure,
  estimateTokenCount,
  type GenerateEvent,
  type Membership,
  type Runner,
} from '@bayspool/decisions';
import {
  Problem,
  sleep,
  type Clock,
  type Logger,
  type Metrics,
  type RandomSource,
  type Tracing,
} from '@bayspool/kernel';
import type {Context} from '@opentelemetry/api';
import type {Counter} from 'prom-client';
import type {ConfigurationStore} from '../../configuration/configuration_store.js';
import type {SlotReservation} from '../../runners/slot_reservation.js';
import {AttemptResult} from '../../runners/attempt_result.js';
import type {RunnerPool} from '../../runners/runner_pool.js';
import type {CompletionEvent} from './completion_event.js';
import type {CompletionRequest} from './completion_request.js';
import type {CascadeLeg} from './cascade_leg.js';
import {legFailures} from './leg_failures.js';
import type {StalenessGuard} from '../../configuration/staleness_guard.js';

interface Options {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly tracing: Tracing;
  readonly store: ConfigurationStore;
  readonly membership: Membership;
  readonly pool: RunnerPool;
  readonly stalenessGuard: StalenessGuard;
  /** The maximum number of attempts at one leg, including the first. */
  readonly maxAttempts: number;
}

const MIN_BACKOFF_MS = 20;
const MAX_BACKOFF_MS = 500;

/**
 * Runs one leg: waits for a runner and relays its tokens. When an attempt fails, it
 * resumes after the last token with the same version, within the retry budget and
 * the deadline. Each token is relayed once and in order.
 */
export class CascadeLegRunner {
  private readonly retryBudget = new RetryBudget();
  private readonly attemptsTotal: Counter<'result'>;

  constructor(private readonly options: Options) {
    this.attemptsTotal = options.metrics.counter(
      'attempts_total',
      'Attempts at runners.',
      ['result'],
    );
  }

  async *run(
    request: CompletionRequest,
    leg: CascadeLeg,
  ): AsyncGenerator<CompletionEvent> {
    const {clock, random} = this.options;
    const failedIds = new Set<string>();
    const backoff = new Backoff({
      random,
      initialMs: MIN_BACKOFF_MS,
      maxMs: MAX_BACKOFF_MS,
    });
    const prefixes = hashPromptPrefixes(leg.version.id, request.prompt);
    this.retryBudget.recordFirstAttempt();
    for (let attempt = 1; ; attempt++) {
      const reservation = await this.acquireWithFreshConfiguration(
        request,
        leg,
        prefixes,
        failedIds,
      );
      const span = this.options.tracing.start('attempt', request.trace, {
        runner: reservation.backend.id,
        version: leg.version.id,
        attempt,
      });
      try {
        yield* this.attempt(
          request,
          leg,
          reservation,
          prefixes,
          this.options.tracing.under(span, request.trace),
        );
        return;
      } catch (error) {
        if (request.signal.aborted)
          throw legFailures.createCancelledFailure(leg);
        const failure = legFailures.toRunnerFailure(error);
        this.options.logger.info('attempt failed', {
          requestId: request.id,
          runner: reservation.backend.id,
          error: failure.message,
        });
        if (!this.mayRetry(request, failure, attempt))
          throw legFailures.createFinalFailure(failure, leg);
        failedIds.add(reservation.backend.id);
      } finally {
        span.end();
      }
      await sleep(clock, backoff.nextDelayMs(), request.signal);
    }
  }

  /** Acquires a runner; if the configuration became stale during the wait, refreshes it and checks the request again. */
  private async acquireWithFreshConfiguration(
    request: CompletionRequest,
    leg: CascadeLeg,
    prefixes: readonly string[],
    failedIds: ReadonlySet<string>,
  ): Promise<SlotReservation<Runner>> {
    const reservation = await this.acquire(request, leg, prefixes, failedIds);
    if (!this.options.stalenessGuard.isStale()) return reservation;
    await this.options.stalenessGuard.refreshIfStale();
    const problem = this.revalidate(request, leg);
    if (!problem) return reservation;
    reservation.release(AttemptResult.CANCELLED);
    throw leg.mayHaveRun
      ? new RequestFailure(problem, Outcome.UNKNOWN)
      : problem;
  }

  private async acquire(
    request: CompletionRequest,
    leg: CascadeLeg,
    prefixes: readonly string[],
    failedIds: ReadonlySet<string>,
  ): Promise<SlotReservation<Runner>> {
    const {store} = this.options;
    const {workspace} = request;
    const home = store.current.workspaces[workspace.id]?.home ?? workspace.home;
    const span = this.options.tracing.start('queue', request.trace);
    try {
      return await this.options.pool.acquire(
        {
          workspace: workspace.id,
          weight: workspace.weight,
          priority: request.priority,
          deadlineAt: request.deadlineAt,
          cost: estimateTokenCount(request.prompt) + 1,
          version: leg.version.id,
          places: [
            ...new Set([resolveServingPlace(store.current, home), home]),
          ],
          allowsCrossing: workspace.crossing,
          prefixes,
          avoidedIds: failedIds,
          revalidate: () => this.revalidate(request, leg),
        },
        request.signal,
      );
    } catch (error) {
      if (leg.mayHaveRun && error instanceof Problem)
        throw new RequestFailure(error, Outcome.UNKNOWN);
      throw error;
    } finally {
      span.end();
    }
  }

  /** Checks right before dispatch that the version may still serve this request. */
  private revalidate(
    request: CompletionRequest,
    leg: CascadeLeg,
  ): Problem | undefined {
    const eligible = findEligibleVersions(this.options.store.current, {
      workspace: request.workspace.id,
      task: request.taskName,
      selector: request.selector,
      session: request.session,
      stale: this.options.stalenessGuard.isStale(),
      suspects: this.options.membership.collectSuspects(),
    });
    return eligible.caseOf({
      Left: problem => problem,
      Right: versions =>
        versions.some(version => version.id === leg.version.id)
          ? undefined
          : legFailures.createVersionUnavailableProblem(leg),
    });
  }

  private async *attempt(
    request: CompletionRequest,
    leg: CascadeLeg,
    reservation: SlotReservation<Runner>,
    prefixes: readonly string[],
    trace: Context,
  ): AsyncGenerator<CompletionEvent> {
    let result: AttemptResult = AttemptResult.CANCELLED;
    const mayHaveRunBefore = leg.mayHaveRun;
    leg.mayHaveRun = true;
    try {
      const events = reservation.backend.generate(
        {
          requestId: request.id,
          version: leg.version.id,
          body: request.body,
          priority: request.priority,
          resumeFrom: leg.tokens,
          generatedText: leg.text,
          prefixes,
          headers: this.options.tracing.inject(trace),
        },
        request.signal,
      );
      yield* this.relayEvents(request, leg, events);
      result = AttemptResult.OK;
    } catch (error) {
      const failure = legFailures.toRunnerFailure(error);
      result = request.signal.aborted
        ? AttemptResult.CANCELLED
        : failure.busy
          ? AttemptResult.BUSY
          : AttemptResult.FAILED;
      if (!failure.mayHaveRun) leg.mayHaveRun = mayHaveRunBefore;
      throw failure;
    } finally {
      reservation.release(result);
      this.attemptsTotal.inc({result});
    }
  }

  private async *relayEvents(
    request: CompletionRequest,
    leg: CascadeLeg,
    events: AsyncIterable<GenerateEvent>,
  ): AsyncGenerator<CompletionEvent> {
    for await (const event of events) {
      if (event.requestId !== request.id)
        throw legFailures.createProtocolFailure(
          'the runner sent a part of another request',
        );
      if (event.kind === 'final') {
        leg.usage = event.usage;
        yield {
          kind: 'final',
          finishReason: event.finishReason,
          usage: event.usage,
        };
        return;
      }
      if (event.index < leg.tokens) continue;
      if (event.index > leg.tokens)
        throw legFailures.createProtocolFailure('a token is missing');
      leg.tokens++;
      leg.text += event.text;
      yield {kind: 'token', text: event.text};
    }
    throw legFailures.createProtocolFailure(
      'the answer ended without its final mark',
    );
  }

  private mayRetry(
    request: CompletionRequest,
    failure: RunnerFailure,
    attempt: number,
  ): boolean {
    if (attempt >= this.options.maxAttempts) return false;
    if (this.options.clock.now() >= request.deadlineAt) return false;
    return failure.busy || this.retryBudget.trySpend();
  }
}
