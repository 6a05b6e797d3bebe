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
  /** Attempts at one leg at most, the first included. */
  readonly maxAttempts: number;
}

const INITIAL_BACKOFF_MS = 20;
const MAX_BACKOFF_MS = 500;

/**
 * Runs one leg: waits for a runner, passes its tokens on, and when an attempt
 * fails goes on from the last token at the same version, within the retry budget
 * and the deadline. Each token is passed on once and in order.
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
    const avoid = new Set<string>();
    const backoff = new Backoff({
      random,
      initialMs: INITIAL_BACKOFF_MS,
      maxMs: MAX_BACKOFF_MS,
    });
    const prefixes = hashPromptPrefixes(leg.version.id, request.prompt);
    this.retryBudget.recordFirstAttempt();
    for (let attempt = 1; ; attempt++) {
      const grant = await this.acquireWithFreshConfiguration(
        request,
        leg,
        prefixes,
        avoid,
      );
      const span = this.options.tracing.start('attempt', request.trace, {
        runner: grant.backend.id,
        version: leg.version.id,
        attempt,
      });
      try {
        yield* this.attempt(
          request,
          leg,
          grant,
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
          runner: grant.backend.id,
          error: failure.message,
        });
        if (!this.mayRetry(request, failure, attempt))
          throw legFailures.createFinalFailure(failure, leg);
        avoid.add(grant.backend.id);
      } finally {
        span.end();
      }
      await sleep(clock, backoff.nextDelayMs(), request.signal);
    }
  }

  /** Acquires a runner; when the configuration has become old meanwhile, it is refreshed and asked again. */
  private async acquireWithFreshConfiguration(
    request: CompletionRequest,
    leg: CascadeLeg,
    prefixes: readonly string[],
    avoid: ReadonlySet<string>,
  ): Promise<SlotReservation<Runner>> {
    const grant = await this.acquire(request, leg, prefixes, avoid);
    if (!this.options.stalenessGuard.isStale()) return grant;
    await this.options.stalenessGuard.refreshIfStale();
    const problem = this.revalidate(request, leg);
    if (!problem) return grant;
    grant.release(AttemptResult.CANCELLED);
    throw leg.mayHaveRun
      ? new RequestFailure(problem, Outcome.UNKNOWN)
      : problem;
  }

  private async acquire(
    request: CompletionRequest,
    leg: CascadeLeg,
    prefixes: readonly string[],
    avoid: ReadonlySet<string>,
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
          avoidedIds: avoid,
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

  /** Whether the version may still have new work for this request: asked at the moment of dispatch. */
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
    grant: SlotReservation<Runner>,
    prefixes: readonly string[],
    trace: Context,
  ): AsyncGenerator<CompletionEvent> {
    let result: AttemptResult = AttemptResult.CANCELLED;
    const mayHaveRunBefore = leg.mayHaveRun;
    leg.mayHaveRun = true;
    try {
      const events = grant.backend.generate(
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
      grant.release(result);
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
