import {RetryPurpose} from '@bayspool/decisions/calls';
import type {SharedRetryBudget} from '@bayspool/decisions/calls';
import type {Clock} from '@bayspool/kernel';
import type {EventLog} from '../observability/event_log.js';
import type {GatewayMetrics} from '../observability/gateway_metrics.js';
import {roundToHundredths} from '../observability/round_to_hundredths.js';
import type {CallRelay} from '../relay/call_relay.js';
import type {Runner} from '../runners/runner.js';
import type {RunnerChoice} from '../runners/runner_choice.js';
import type {AttemptRouter} from './attempt_router.js';
import type {CallProgress} from './call_progress.js';
import type {RetryPolicy} from './retry_policy.js';
import {SuccessorRefusal} from './successor_refusal.js';

interface Options {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: GatewayMetrics;
  readonly router: AttemptRouter;
  readonly relay: CallRelay;
  readonly retryPolicy: RetryPolicy;
  /** Retry budget of a service. */
  readonly retryBudgetOf: (service: string) => SharedRetryBudget;
}

/** A run under way whose runner has sent nothing for too long. */
interface SilentRun {
  readonly progress: CallProgress;
  readonly runner: Runner;
  /** Number of the attempt. */
  readonly attempt: number;
  readonly silentMs: number;
  /** Whether the caller has a part of the response. */
  readonly hasStarted: boolean;
}

/** What is to be done about a silent run. */
interface Decision {
  /** The runner of a further run, for which a retry is reserved. */
  readonly choice?: RunnerChoice;
  /** Whether another host is to take the call, for which a retry is reserved. */
  readonly isRelayed?: boolean;
  /** Why nothing is to be done. */
  readonly refusal?: SuccessorRefusal;
}

/**
 * Decides whether a call gets another run while one is under way, and reserves what that needs. See
 * docs/design/ending-runs.md.
 */
export class SuccessorPolicy {
  constructor(private readonly options: Options) {}

  /**
   * Prepares what follows a silent run. It is counted as silent in the call's progress if a further run is to
   * be started beside it.
   */
  decide(run: SilentRun): Decision {
    const {progress, runner} = run;
    progress.addSilentRunner(runner);
    const decision = this.prepare(run);
    if (!decision.choice) progress.removeSilentRunner(runner);
    return decision;
  }

  /** Whether a run that has no connection yet is to be dropped, since another runner may take the call. */
  canReplaceUnsent(progress: CallProgress, runner: Runner): boolean {
    const {router, relay} = this.options;
    progress.addSilentRunner(runner);
    const canReplace =
      relay.canTake(progress) || router.chooseSuccessor(progress) !== undefined;
    progress.removeSilentRunner(runner);
    return canReplace;
  }

  /** Records a decision; to be called once for each reason that a run meets. */
  record(
    {progress, runner, attempt, silentMs, hasStarted}: SilentRun,
    {choice, isRelayed, refusal}: Decision,
  ): void {
    const {clock, log, metrics, retryBudgetOf} = this.options;
    const {call, attemptsLeft} = progress;
    const {service, id: request, deadlineAt} = call;
    const budget = retryBudgetOf(service);
    const {calls, retries, hosts} = budget.windowCounts;
    metrics.successors.inc({service, reason: refusal ?? 'started'});
    log.write('successor_decided', {
      request,
      attempt,
      runner: runner.entry.id,
      silentMs: Math.round(silentMs),
      isRunnerSilent: runner.isQuiet,
      hasStarted,
      successor: choice?.runner.entry.id,
      isRelayed,
      refusal,
      attemptsLeft,
      budgetLeft: roundToHundredths(budget.remaining),
      firstsInWindow: calls,
      repeatsInWindow: retries,
      hosts,
      leftMs: Math.round(deadlineAt - clock.now()),
    });
  }

  private prepare({progress, hasStarted}: SilentRun): Decision {
    const {relay, retryPolicy, router} = this.options;
    // A runner is chosen only for a call that may go on: the choice goes through all runners.
    const purpose = hasStarted
      ? RetryPurpose.PARTIAL_RESPONSE
      : RetryPurpose.FAILURE;
    const refusal = retryPolicy.reserveSuccessor(progress, purpose);
    if (refusal) return {refusal};
    const isRelayed = relay.canTake(progress);
    const choice = isRelayed ? undefined : router.chooseSuccessor(progress);
    if (isRelayed || choice) return {choice, isRelayed};
    progress.takeReservation()?.release();
    return {refusal: SuccessorRefusal.NO_OTHER_RUNNER};
  }
}
