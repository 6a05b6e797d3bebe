import {CallKind, RetryPurpose, isRetryable} from '@bayspool/decisions/calls';
import type {
  ModelCascade,
  PartQuarantine,
  Quarantine,
  RetryReservation,
  SharedRetryBudget,
} from '@bayspool/decisions/calls';
import type {Clock} from '@bayspool/kernel';
import type {EventLog} from '../observability/event_log.js';
import type {GatewayMetrics} from '../observability/gateway_metrics.js';
import type {StopAdmission} from '../lifecycle/stop_admission.js';
import type {MembershipView} from '../peers/membership_view.js';
import {findHold} from '../quarantine/find_hold.js';
import {OutcomeKind} from './outcome_kind.js';
import type {AttemptOutcome} from './attempt_outcome.js';
import type {CallProgress} from './call_progress.js';
import {SuccessorRefusal} from './successor_refusal.js';
import {roundToHundredths} from '../observability/round_to_hundredths.js';

interface Options {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: GatewayMetrics;
  readonly cascade: ModelCascade;
  readonly quarantine: Quarantine;
  readonly partQuarantine: PartQuarantine;
  /** Retry budget of a service. */
  readonly retryBudgetOf: (service: string) => SharedRetryBudget;
  readonly membership: MembershipView;
  readonly stopAdmission: StopAdmission;
}

/** Remaining time below which another attempt can't produce a response, in ms. */
const MIN_REMAINING_MS = 30;
/**
 * Budget that an escalation to the largest model has to leave, so that a truncated response can
 * still be retried.
 */
const BUDGET_KEPT_FOR_FAILURES = 0.2;
/** Limit on all attempts: those that never reached a runner don't count towards the route's limit. */
const MAX_ATTEMPTS = 10;

/** Decides whether a call may be sent to another runner. */
export class RetryPolicy {
  constructor(private readonly options: Options) {}

  /** Whether an attempt that is sent now ends before this host stops; a started response goes on as far as it comes. */
  canEnd(progress: CallProgress): boolean {
    const {call, startedByVersion, isEscalating, stopPhase, model} = progress;
    // What was there was dropped for this attempt, so that nothing is won without it.
    if (startedByVersion !== undefined || isEscalating) return true;
    return this.options.stopAdmission.canEnd(call, stopPhase, model);
  }

  /** Decides whether the call is retried after this outcome, and reserves retry budget for it. */
  decideRetry(progress: CallProgress, outcome: AttemptOutcome): boolean {
    const {clock, log, metrics, retryBudgetOf, membership} = this.options;
    const {call} = progress;
    const remainingMs = call.deadlineAt - clock.now();
    const budget = retryBudgetOf(call.service);
    const refusal =
      this.findRefusal(progress, outcome, remainingMs) ??
      this.reserveBudget(progress, budget);
    const isRetried = refusal === undefined;
    const {calls, retries, hosts} = budget.windowCounts;
    const {registered, heardOf, registryAgeMs, isComplete} = membership;
    log.write('retry_decided', {
      request: call.id,
      attempt: progress.attemptCount,
      again: isRetried,
      reason: outcome.reason,
      refusal,
      budgetLeft: roundToHundredths(budget.remaining),
      firstsInWindow: calls,
      repeatsInWindow: retries,
      hosts,
      registered,
      heardOf,
      registryAgeMs: registryAgeMs && Math.round(registryAgeMs),
      isRegistryComplete: isComplete,
      leftMs: Math.round(remainingMs),
    });
    if (!isRetried) return false;
    if (outcome.kind === OutcomeKind.LOW_CONFIDENCE)
      progress.model = this.options.cascade.largestModel(call.route);
    metrics.retries.inc({service: call.service, reason: outcome.kind});
    return true;
  }

  /**
   * Spends the reserved budget when a retry is sent.
   *
   * @param reservation that of the attempt; absent if the attempt is no retry
   * @returns why it must not be sent; undefined if it may
   */
  spendReservation(reservation?: RetryReservation): string | undefined {
    const isWithinBudget = !reservation || reservation.spend();
    return isWithinBudget ? undefined : SuccessorRefusal.BUDGET_SPENT;
  }

  /**
   * Reserves budget for the next attempt of a call, while a run that has been sent has not ended.
   *
   * @param purpose why the call is to be sent once more
   * @returns why there must be no further attempt; undefined if the call has the reservation
   */
  reserveSuccessor(
    progress: CallProgress,
    purpose: RetryPurpose,
  ): SuccessorRefusal | undefined {
    const {call} = progress;
    const remainingMs = call.deadlineAt - this.options.clock.now();
    // Whether a larger model's run ends is asked before, as that takes another time than this one's.
    const canEnd =
      purpose === RetryPurpose.IMPROVEMENT || this.canEnd(progress);
    if (remainingMs < MIN_REMAINING_MS) return SuccessorRefusal.NO_TIME_LEFT;
    if (!canEnd) return SuccessorRefusal.HOST_STOPPING;
    if (progress.attemptsLeft === 0 || progress.attemptCount >= MAX_ATTEMPTS)
      return SuccessorRefusal.NO_ATTEMPT_LEFT;
    if (findHold(call, this.options)) return SuccessorRefusal.QUARANTINED;
    const budget = this.options.retryBudgetOf(call.service);
    progress.retryReservation ??= budget.reserve({purpose});
    return progress.retryReservation
      ? undefined
      : SuccessorRefusal.BUDGET_SPENT;
  }

  /**
   * Estimates when a retry that the budget alone forbids could be reserved, in ms; undefined if something else forbids it, or
   * nothing is expected to be earned.
   */
  estimateBudgetWaitMs(
    progress: CallProgress,
    outcome: AttemptOutcome,
  ): number | undefined {
    const {clock, retryBudgetOf} = this.options;
    const {deadlineAt, service} = progress.call;
    const remainingMs = deadlineAt - clock.now();
    if (this.findRefusal(progress, outcome, remainingMs)) return undefined;
    return retryBudgetOf(service).estimateWaitMs(purposeOf(progress));
  }

  private reserveBudget(
    progress: CallProgress,
    budget: SharedRetryBudget,
  ): SuccessorRefusal | undefined {
    // An attempt is no retry if none before it reached a runner.
    if (progress.sentCount === 0) return undefined;
    if (progress.retryReservation) return undefined;
    const purpose = purposeOf(progress);
    progress.retryReservation = budget.reserve({purpose});
    if (progress.retryReservation) return undefined;
    const {id: request, service} = progress.call;
    this.options.log.write('budget_spent', {request, service});
    return SuccessorRefusal.BUDGET_SPENT;
  }

  /** Returns why a call is not sent again after this outcome, apart from the retry budget. */
  private findRefusal(
    progress: CallProgress,
    outcome: AttemptOutcome,
    remainingMs: number,
  ): SuccessorRefusal | undefined {
    const {call} = progress;
    if (remainingMs < MIN_REMAINING_MS) return SuccessorRefusal.NO_TIME_LEFT;
    if (progress.attemptsLeft === 0 || progress.attemptCount >= MAX_ATTEMPTS)
      return SuccessorRefusal.NO_ATTEMPT_LEFT;
    if (findHold(call, this.options)) return SuccessorRefusal.QUARANTINED;
    if (!isRepeatable(call.route.kind, outcome.kind))
      return SuccessorRefusal.NOT_REPEATABLE;
    if (!this.canEnd(progress)) return SuccessorRefusal.HOST_STOPPING;
    return undefined;
  }

  /** Whether a small model's response may be dropped in favour of one from the largest model. */
  canEscalate(progress: CallProgress): boolean {
    const {clock, retryBudgetOf} = this.options;
    const {call} = progress;
    if (call.route.kind !== CallKind.RESUMABLE) return false;
    if (progress.attemptsLeft <= 1) return false;
    if (call.deadlineAt - clock.now() < MIN_REMAINING_MS) return false;
    return (
      retryBudgetOf(call.service).remaining >= 1 + BUDGET_KEPT_FOR_FAILURES
    );
  }
}

/** Whether a call may be sent again whose attempt ended like this. */
function isRepeatable(kind: CallKind, outcome: OutcomeKind): boolean {
  if (outcome === OutcomeKind.NOT_RUN) return true;
  if (outcome === OutcomeKind.LOW_CONFIDENCE) return true;
  return isRetryable(kind);
}

function purposeOf({startedByVersion}: CallProgress): RetryPurpose {
  const hasPartialResponse = startedByVersion !== undefined;
  return hasPartialResponse
    ? RetryPurpose.PARTIAL_RESPONSE
    : RetryPurpose.FAILURE;
}
