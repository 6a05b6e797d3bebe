import {RetryPurpose} from '@bayspool/decisions/calls';
import type {RetryReservation} from '@bayspool/decisions/calls';
import type {Clock, ConnectionReads} from '@bayspool/kernel';
import {Attempt} from '../calls/attempt.js';
import type {AttemptOutcome} from '../calls/attempt_outcome.js';
import type {CallFinisher} from '../calls/call_finisher.js';
import type {CallProgress} from '../calls/call_progress.js';
import type {CallRejection} from '../calls/call_rejection.js';
import type {CallerResponse} from '../calls/caller_response.js';
import type {HeaderNames} from '../calls/header_names.js';
import {OutcomeKind} from '../calls/outcome_kind.js';
import {RunEnd} from '../calls/run_end.js';
import type {RetryPolicy} from '../calls/retry_policy.js';
import {SuccessorRefusal} from '../calls/successor_refusal.js';
import type {EventLog} from '../observability/event_log.js';
import type {GatewayMetrics} from '../observability/gateway_metrics.js';
import type {RunnerReachability} from '../runners/runner_reachability.js';
import {RelayHeaderBuilder} from './relay_header_builder.js';
import type {RelayHost} from './relay_host.js';
import type {RelayHostRegistry} from './relay_host_registry.js';
import {RELAY_REFUSED} from './relay_refused.js';
import type {WorkShare} from '../calls/work_share.js';

interface Options {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: GatewayMetrics;
  readonly headerNames: HeaderNames;
  /** How old this host's knowledge of its callers' connections is. */
  readonly connectionReads: ConnectionReads;
  readonly workShare: WorkShare;
  /** Name of this host. */
  readonly host: string;
  readonly reachability: RunnerReachability;
  readonly hosts: RelayHostRegistry;
  readonly retryPolicy: RetryPolicy;
  readonly finisher: CallFinisher;
}

/** What a call hands over to another host. */
interface AttemptShare {
  /** How often that host may send the call to runners. */
  readonly attempts: number;
  /** The reservation in the retry budget; absent if the call is no retry. */
  readonly reservation?: RetryReservation;
}

/** Number of runners that a call could not reach after which another host is asked. */
const UNREACHABLE_BEFORE_RELAY = 3;
/** Number of hosts that are asked to take one call: a refusal takes a round trip. */
const MAX_HOSTS = 5;
/** How long a host that does not respond is left out, in ms. */
const UNAVAILABLE_MS = 300;
/** Remaining time below which a call is not relayed, in ms. */
const MIN_REMAINING_MS = 30;

/** Sends calls to other hosts while this one reaches no runner. */
export class CallRelay {
  constructor(private readonly options: Options) {}

  /** Chooses the host that gets a call next; undefined if the call is not to be relayed, or no host takes it. */
  choose(progress: CallProgress): RelayHost | undefined {
    if (!this.mayRelay(progress)) return undefined;
    const isNeeded =
      this.options.reachability.isCutOff ||
      progress.unreachableCount >= UNREACHABLE_BEFORE_RELAY;
    if (!isNeeded) return undefined;
    return this.options.hosts.choose(progress.call.regions);
  }

  /** Whether the call could be relayed if its runner stops sending. */
  canTake(progress: CallProgress): boolean {
    const {reachability, hosts} = this.options;
    if (!reachability.isCutOff || !this.mayRelay(progress)) return false;
    return hosts.choose(progress.call.regions) !== undefined;
  }

  /** Returns why a call that was not relayed can't be served; undefined if it may be sent to a runner. */
  findRejection({call}: CallProgress): CallRejection | undefined {
    const {reachability, hosts} = this.options;
    if (!reachability.isCutOff) return undefined;
    return {
      reason: 'this host reaches no runner, and no other host takes the call',
      minRetryMs: hosts.computeWaitMs(call.regions),
    };
  }

  /**
   * Sends a call to another host, and relays its response.
   *
   * @returns whether the call has ended
   */
  async run(
    progress: CallProgress,
    host: RelayHost,
    caller: CallerResponse,
    signal: AbortSignal,
  ): Promise<boolean> {
    const {finisher, reachability} = this.options;
    const attempts = this.shareAttempts(progress);
    const reservation = progress.takeReservation();
    const attempt = this.createAttempt(
      progress,
      host,
      {attempts, reservation},
      caller,
      signal,
    );
    const outcome = await this.runAttempt(progress, host, attempt, attempts);
    progress.returnReservation(reservation);
    progress.recordRelayed(outcome, attempts);
    if (outcome.kind === OutcomeKind.ANSWERED) {
      reachability.recordServedElsewhere();
      finisher.finishAnswered(progress, outcome, host.endpoint, caller);
      return true;
    }
    const isOver = outcome.kind === OutcomeKind.CALL_ENDED || signal.aborted;
    if (!isOver && this.mayTryNextHost(progress, outcome)) return false;
    const reason = isOver ? String(signal.reason) : outcome.reason;
    const minRetryMs = attempt.statement?.rest.forMs;
    finisher.finishUnanswered(progress, caller, reason, minRetryMs);
    return true;
  }

  private async runAttempt(
    progress: CallProgress,
    host: RelayHost,
    attempt: Attempt,
    attempts: number,
  ): Promise<AttemptOutcome> {
    const {clock, log, metrics} = this.options;
    const {id: request, service} = progress.call;
    const startedAt = clock.now();
    this.logStart(progress, host, attempts);
    const outcome = await attempt.run();
    const {kind, reason, status} = outcome;
    this.noteOutcome(host, attempt, outcome);
    metrics.relayedCalls.inc({service, outcome: kind});
    log.write('relay_ended', {
      request,
      peer: host.name,
      outcome: kind,
      reason,
      status,
      forMs: Math.round(clock.now() - startedAt),
    });
    return outcome;
  }

  private noteOutcome(
    host: RelayHost,
    attempt: Attempt,
    outcome: AttemptOutcome,
  ): void {
    const {hosts} = this.options;
    if (outcome.status === RELAY_REFUSED) hosts.noteRefused(host);
    else if (hasNoResponse(attempt, outcome))
      host.noteUnavailable(UNAVAILABLE_MS);
    else hosts.noteTaken(host);
  }

  /** Whether the outcome is that of the other host, or of the connection to it, and not of the call. */
  private mayTryNextHost(
    progress: CallProgress,
    outcome: AttemptOutcome,
  ): boolean {
    const {kind, status, isWithheld = false} = outcome;
    const isNotRun = kind === OutcomeKind.NOT_RUN;
    if (isNotRun && !isWithheld)
      return status === undefined || status === RELAY_REFUSED;
    if (!isNotRun && kind !== OutcomeKind.BROKEN) return false;
    return this.options.retryPolicy.decideRetry(progress, outcome);
  }

  private mayRelay({call, relayCount, attemptsLeft}: CallProgress): boolean {
    // A relayed call goes no further: two hosts could take each other for connected.
    if (call.relayOrigin) return false;
    const remainingMs = call.deadlineAt - this.options.clock.now();
    return (
      relayCount < MAX_HOSTS &&
      attemptsLeft > 0 &&
      remainingMs >= MIN_REMAINING_MS
    );
  }

  /** Leaves one attempt for a further host, in case this one fails midway. */
  private shareAttempts({attemptsLeft}: CallProgress): number {
    return Math.max(1, attemptsLeft - 1);
  }

  private createAttempt(
    progress: CallProgress,
    relayHost: RelayHost,
    {attempts, reservation}: AttemptShare,
    caller: CallerResponse,
    signal: AbortSignal,
  ): Attempt {
    const {clock, connectionReads, headerNames, host, retryPolicy, workShare} =
      this.options;
    const {call, isCounted} = progress;
    const origin = {host, attempts, isCounted};
    const choice = {workMs: 0, waitMs: 0, unreadTokens: 0, ejected: 0};
    const attempt: Attempt = new Attempt({
      clock,
      connectionReads,
      workShare,
      headerNames,
      call,
      caller,
      signal,
      choice: {...choice, runner: relayHost.endpoint, reason: 'relay'},
      headerBuilder: new RelayHeaderBuilder({headerNames, origin}),
      admit: () =>
        retryPolicy.canEnd(progress)
          ? retryPolicy.spendReservation(reservation)
          : SuccessorRefusal.HOST_STOPPING,
      // The other host has decided whether the response is used.
      acceptsConfidence: () => true,
      claimDelivery: () => true,
      onSilent: () => {
        if (!this.canLeave(progress, relayHost, attempts)) return;
        if (!attempt.isAdmitted || this.reserveRetry(progress, caller))
          attempt.end(RunEnd.SILENT);
      },
    });
    return attempt;
  }

  /** Whether a host does not respond, and another one may take its call. */
  private canLeave(
    {call, attemptsLeft}: CallProgress,
    relayHost: RelayHost,
    attempts: number,
  ): boolean {
    if (!relayHost.isUnresponsive || attempts >= attemptsLeft) return false;
    return this.options.hosts.choose(call.regions) !== undefined;
  }

  /** Reserves budget for sending a call that another host has got once more. @returns whether there was enough */
  private reserveRetry(
    progress: CallProgress,
    {hasStarted}: CallerResponse,
  ): boolean {
    const {retryPolicy} = this.options;
    const purpose = hasStarted
      ? RetryPurpose.PARTIAL_RESPONSE
      : RetryPurpose.FAILURE;
    return retryPolicy.reserveSuccessor(progress, purpose) === undefined;
  }

  private logStart(
    {call, unreachableCount, sentCount, isCounted}: CallProgress,
    {name, endpoint}: RelayHost,
    attempts: number,
  ): void {
    const {log, reachability} = this.options;
    const {silentMs, cutOffMs, isCutOff} = reachability;
    log.write('call_relayed', {
      request: call.id,
      peer: name,
      place: endpoint.entry.place,
      reason: isCutOff ? 'no runner is reached' : 'runners not reached',
      runnersSilentMs: silentMs && Math.round(silentMs),
      cutOffMs: Math.round(cutOffMs),
      unreachable: unreachableCount,
      sent: sentCount,
      attempts,
      isCounted,
      open: endpoint.totalRunning,
      leftMs: Math.round(call.deadlineAt - this.options.clock.now()),
    });
  }
}

/** Whether the other host sent no response, although the call did not end here. */
function hasNoResponse(
  {hasHead}: Attempt,
  {kind, status, isWithheld}: AttemptOutcome,
): boolean {
  if (kind === OutcomeKind.BROKEN) return !hasHead;
  return kind === OutcomeKind.NOT_RUN && status === undefined && !isWithheld;
}
