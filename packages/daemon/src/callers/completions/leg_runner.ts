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
import type {Grant} from '../../runners/grant.js';
import {GrantResult} from '../../runners/grant_result.js';
import type {RunnerPool} from '../../runners/runner_pool.js';
import type {AnswerPart} from './answer_part.js';
import type {CompletionRequest} from './completion_request.js';
import type {Leg} from './leg.js';
import {legProblems} from './leg_problems.js';
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
  readonly staleness: StalenessGuard;
  /** Attempts at one leg at most, the first included. */
  readonly attemptsMost: number;
}

const BACKOFF_FIRST_MS = 20;
const BACKOFF_MOST_MS = 500;

/**
 * Runs one leg: waits for a runner, passes its tokens on, and when an attempt
 * fails goes on from the last token at the same version, within the retry budget
 * and the deadline. Each token is passed on once and in order.
 */
export class LegRunner {
  private readonly budget = new RetryBudget();
  private readonly attempts: Counter<'result'>;

  constructor(private readonly options: Options) {
    this.attempts = options.metrics.counter(
      'attempts_total',
      'Attempts at runners.',
      ['result'],
    );
  }

  async *run(request: CompletionRequest, leg: Leg): AsyncGenerator<AnswerPart> {
    const {clock, random} = this.options;
    const avoid = new Set<string>();
    const backoff = new Backoff({
      random,
      initialMs: BACKOFF_FIRST_MS,
      maxMs: BACKOFF_MOST_MS,
    });
    const prefixes = hashPromptPrefixes(leg.version.id, request.prompt);
    this.budget.recordFirstAttempt();
    for (let attempt = 1; ; attempt++) {
      const grant = await this.acquireFresh(request, leg, prefixes, avoid);
      const span = this.options.tracing.start('attempt', request.trace, {
        runner: grant.target.id,
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
        if (request.signal.aborted) throw legProblems.cancelled(leg);
        const failure = legProblems.toFailure(error);
        this.options.logger.info('attempt failed', {
          requestId: request.id,
          runner: grant.target.id,
          error: failure.message,
        });
        if (!this.mayRetry(request, failure, attempt))
          throw legProblems.givenUp(failure, leg);
        avoid.add(grant.target.id);
      } finally {
        span.end();
      }
      await sleep(clock, backoff.nextDelayMs(), request.signal);
    }
  }

  /** Acquires a runner; when the configuration has become old meanwhile, it is refreshed and asked again. */
  private async acquireFresh(
    request: CompletionRequest,
    leg: Leg,
    prefixes: readonly string[],
    avoid: ReadonlySet<string>,
  ): Promise<Grant<Runner>> {
    const grant = await this.acquire(request, leg, prefixes, avoid);
    if (!this.options.staleness.isStale()) return grant;
    await this.options.staleness.refreshIfStale();
    const problem = this.recheck(request, leg);
    if (!problem) return grant;
    grant.release(GrantResult.CANCELLED);
    throw leg.mayHaveRun
      ? new RequestFailure(problem, Outcome.UNKNOWN)
      : problem;
  }

  private async acquire(
    request: CompletionRequest,
    leg: Leg,
    prefixes: readonly string[],
    avoid: ReadonlySet<string>,
  ): Promise<Grant<Runner>> {
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
          crossing: workspace.crossing,
          prefixes,
          avoid,
          recheck: () => this.recheck(request, leg),
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
  private recheck(request: CompletionRequest, leg: Leg): Problem | undefined {
    const eligible = findEligibleVersions(this.options.store.current, {
      workspace: request.workspace.id,
      task: request.taskName,
      selector: request.selector,
      session: request.session,
      stale: this.options.staleness.isStale(),
      suspects: this.options.membership.collectSuspects(),
    });
    return eligible.caseOf({
      Left: problem => problem,
      Right: versions =>
        versions.some(version => version.id === leg.version.id)
          ? undefined
          : legProblems.overtaken(leg),
    });
  }

  private async *attempt(
    request: CompletionRequest,
    leg: Leg,
    grant: Grant<Runner>,
    prefixes: readonly string[],
    trace: Context,
  ): AsyncGenerator<AnswerPart> {
    let result: GrantResult = GrantResult.CANCELLED;
    const mayHaveRunBefore = leg.mayHaveRun;
    leg.mayHaveRun = true;
    try {
      const events = grant.target.generate(
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
      yield* this.pass(request, leg, events);
      result = GrantResult.OK;
    } catch (error) {
      const failure = legProblems.toFailure(error);
      result = request.signal.aborted
        ? GrantResult.CANCELLED
        : failure.busy
          ? GrantResult.BUSY
          : GrantResult.FAILED;
      if (!failure.mayHaveRun) leg.mayHaveRun = mayHaveRunBefore;
      throw failure;
    } finally {
      grant.release(result);
      this.attempts.inc({result});
    }
  }

  private async *pass(
    request: CompletionRequest,
    leg: Leg,
    events: AsyncIterable<GenerateEvent>,
  ): AsyncGenerator<AnswerPart> {
    for await (const event of events) {
      if (event.requestId !== request.id)
        throw legProblems.broken('the runner sent a part of another request');
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
        throw legProblems.broken('a token is missing');
      leg.tokens++;
      leg.text += event.text;
      yield {kind: 'token', text: event.text};
    }
    throw legProblems.broken('the answer ended without its final mark');
  }

  private mayRetry(
    request: CompletionRequest,
    failure: RunnerFailure,
    attempt: number,
  ): boolean {
    if (attempt >= this.options.attemptsMost) return false;
    if (this.options.clock.now() >= request.deadlineAt) return false;
    return failure.busy || this.budget.trySpend();
  }
}
