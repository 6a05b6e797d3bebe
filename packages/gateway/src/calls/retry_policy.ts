import {CallKind, isRetryable} from '@bayspool/decisions/calls';
import type {
  ModelCascade,
  Quarantine,
  SharedRetryBudget,
} from '@bayspool/decisions/calls';
import type {Clock} from '@bayspool/kernel';
import type {EventLog} from '../observability/event_log.js';
import type {GatewayMetrics} from '../observability/gateway_metrics.js';
import type {Runner} from '../runners/runner.js';
import type {RunnerGate} from '../runners/runner_gate.js';
import {OutcomeKind} from './outcome_kind.js';
import type {AttemptOutcome} from './attempt_outcome.js';
import type {CallCandidates} from './call_candidates.js';
import type {CallProgress} from './call_progress.js';
import {roundHundredths} from '../observability/round_hundredths.js';

interface Options {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: GatewayMetrics;
  readonly candidates: CallCandidates;
  readonly gate: RunnerGate;
  readonly cascade: ModelCascade;
  readonly quarantine: Quarantine;
  /** The retry budget of a service. */
  readonly retryBudgetOf: (service: string) => SharedRetryBudget;
}

/** Time under which another attempt cannot bring an answer, in ms. */
const MIN_REMAINING_MS = 30;
/** What has to be left besides a repeat that replaces a small model's answer, so that one which breaks off has one. */
const BUDGET_KEPT_FOR_FAILURES = 0.2;
/** Attempts that were not run do not count as such; this bounds them. */
const MAX_ATTEMPTS = 10;

/** Whether a call may be sent to a runner once more. */
export class RetryPolicy {
  constructor(private readonly options: Options) {}

  /** Whether the call may be sent once more after this outcome, and reserves room in the budget for it. */
  decideRetry(progress: CallProgress, outcome: AttemptOutcome): boolean {
    const {clock, log, metrics, retryBudgetOf: budgetOf} = this.options;
    const {call} = progress;
    const leftMs = call.deadlineAt - clock.now();
    const budget = budgetOf(call.service);
    const again =
      this.isRetryAllowed(progress, outcome, leftMs) &&
      this.reserveBudget(progress, budget);
    const {calls: firsts, retries: repeats, hosts} = budget.windowCounts;
    log.write('retry_decided', {
      request: call.id,
      attempt: progress.attemptCount,
      again,
      reason: outcome.reason,
      budgetLeft: roundHundredths(budget.remaining),
      firstsInWindow: firsts,
      repeatsInWindow: repeats,
      hosts,
      leftMs: Math.round(leftMs),
    });
    if (!again) return false;
    if (outcome.kind === OutcomeKind.LOW_CONFIDENCE)
      progress.model = this.options.cascade.largestModel(call.route);
    metrics.repeats.inc({service: call.service, reason: outcome.kind});
    return true;
  }

  /** Counts a repeat as it is sent. @returns why it must not be sent any more; undefined if it may */
  spendReservation({
    retryReservation: reservation,
  }: CallProgress): string | undefined {
    const isPaid = !reservation || reservation.spend();
    return isPaid ? undefined : 'retry budget is spent';
  }

  private reserveBudget(
    progress: CallProgress,
    budget: SharedRetryBudget,
  ): boolean {
    // What has not arrived at a runner yet is no repeat.
    if (progress.sentCount === 0) return true;
    const hasBegun = progress.startedByVersion !== undefined;
    progress.retryReservation = budget.reserve({hasPartialAnswer: hasBegun});
    if (progress.retryReservation) return true;
    const {id: request, service} = progress.call;
    this.options.log.write('budget_spent', {request, service});
    return false;
  }

  private isRetryAllowed(
    progress: CallProgress,
    outcome: AttemptOutcome,
    leftMs: number,
  ): boolean {
    const {call} = progress;
    if (leftMs < MIN_REMAINING_MS || progress.attemptCount >= MAX_ATTEMPTS)
      return false;
    if (this.options.quarantine.remainingMs(call.fingerprint) > 0) return false;
    if (progress.sentCount >= call.route.attempts) return false;
    if (outcome.kind === OutcomeKind.NOT_RUN) return true;
    if (outcome.kind === OutcomeKind.LOW_CONFIDENCE) return true;
    return isRetryable(call.route.kind);
  }

  /** Whether an answer of a small model may be dropped for one of the largest. */
  canEscalate(progress: CallProgress): boolean {
    const {clock, retryBudgetOf: budgetOf} = this.options;
    const {call} = progress;
    if (call.route.kind !== CallKind.RESUMABLE) return false;
    if (progress.sentCount + 1 >= call.route.attempts) return false;
    if (call.deadlineAt - clock.now() < MIN_REMAINING_MS) return false;
    return budgetOf(call.service).remaining >= 1 + BUDGET_KEPT_FOR_FAILURES;
  }

  /** Whether another runner could take the call if this one falls silent. */
  canFailOver(progress: CallProgress, from: Runner): boolean {
    const {call} = progress;
    if (progress.sentCount + 1 >= call.route.attempts) return false;
    if (this.options.retryBudgetOf(call.service).remaining < 1) return false;
    const {candidates, gate} = this.options;
    const sound = candidates
      .listFor(call)
      .filter(
        runner =>
          runner !== from && !runner.health.isEjected && !runner.isQuiet,
      );
    return gate.filterOpen(sound).length > 0;
  }
}
