import type {
  PartQuarantine,
  PriorityAdmission,
  Quarantine,
  RetryReservation,
} from '@bayspool/decisions/calls';
import type {OverloadControl} from '@bayspool/decisions/admission';
import type {Clock, ConnectionReads} from '@bayspool/kernel';
import type {EventLog} from '../observability/event_log.js';
import type {GatewayMetrics} from '../observability/gateway_metrics.js';
import type {Runner} from '../runners/runner.js';
import type {RunnerChoice} from '../runners/runner_choice.js';
import type {RunnerGate} from '../runners/runner_gate.js';
import type {RunnerReachability} from '../runners/runner_reachability.js';
import {Attempt} from './attempt.js';
import type {AttemptOutcome} from './attempt_outcome.js';
import type {AttemptRecorder} from './attempt_recorder.js';
import type {CallerResponse} from './caller_response.js';
import type {CallProgress} from './call_progress.js';
import type {ChoiceRecorder} from './choice_recorder.js';
import {computeEventIntervalMs} from './compute_event_interval_ms.js';
import type {CrashAttribution} from './crash_attribution.js';
import {estimateLatencyMs} from './estimate_latency_ms.js';
import type {HeaderNames} from './header_names.js';
import type {RequestHeaders} from './request_headers.js';
import type {RetryPolicy} from './retry_policy.js';
import {findHold} from '../quarantine/find_hold.js';
import {SuccessorRefusal} from './successor_refusal.js';
import type {WorkShare} from './work_share.js';

interface Options {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: GatewayMetrics;
  readonly headerNames: HeaderNames;
  /** How old this host's knowledge of its callers' connections is. */
  readonly connectionReads: ConnectionReads;
  readonly workShare: WorkShare;
  readonly headerBuilder: RequestHeaders;
  readonly attemptRecorder: AttemptRecorder;
  readonly choiceRecorder: ChoiceRecorder;
  readonly crashAttribution: CrashAttribution;
  readonly gate: RunnerGate;
  readonly reachability: RunnerReachability;
  readonly retryPolicy: RetryPolicy;
  readonly quarantine: Quarantine;
  readonly partQuarantine: PartQuarantine;
  /** Admits calls of a service by priority when its runners accept fewer than are requested. */
  readonly priorityAdmissionOf: (service: string) => PriorityAdmission;
  /** Admission control of a service. */
  readonly overloadControlOf: (service: string) => OverloadControl;
}

/** What an attempt needs of the call that it belongs to. */
interface AttemptRequest {
  readonly progress: CallProgress;
  readonly choice: RunnerChoice;
  readonly caller: CallerResponse;
  /** Aborted if the call ends before the attempt; the reason is a short text. */
  readonly signal: AbortSignal;
  /** Whether a response of the attempt's model with this confidence is used. */
  readonly acceptsConfidence: (confidence: number | undefined) => boolean;
  /** Called at each check while the runner's silence exceeds its timeout. */
  readonly onSilent: () => void;
  /** Called before anything is passed on; returns false if another run of the call has delivered. */
  readonly claimDelivery: () => boolean;
}

/** An attempt under way. */
interface StartedAttempt {
  readonly attempt: Attempt;
  /** Number of the attempt within its call, from 1. */
  readonly number: number;
  readonly runner: Runner;
  /** Resolves when the attempt has ended and is recorded. */
  readonly ended: Promise<AttemptOutcome>;
}

/** The end of an attempt, as logged. */
interface EndedAttempt {
  /** Number of the attempt within its call, from 1. */
  readonly number: number;
  readonly outcome: AttemptOutcome;
  /** Time to the first output, in ms; undefined if there was none. */
  readonly latencyMs: number | undefined;
  readonly durationMs: number;
}

/**
 * Maximum queued work of other calls, as a share of a prompt's own, with which the prompt's latency
 * still serves as a sample of the engine's prefill rate.
 */
const MAX_OTHER_WORK_SHARE = 0.3;

/** Starts attempts at chosen runners, and records their choice, start and end. */
export class AttemptRunner {
  constructor(private readonly options: Options) {}

  /** Starts an attempt; it takes over the call's reservation in the retry budget. */
  start(request: AttemptRequest): StartedAttempt {
    const {progress, choice} = request;
    const number = progress.recordStarted();
    this.options.choiceRecorder.record(progress, choice, number);
    const reservation = progress.takeReservation();
    const attempt = this.createAttempt(request, reservation);
    const ended = this.run(request, attempt, number).finally(() =>
      // A reservation for an attempt that was never sent would stay in use.
      reservation?.release(),
    );
    return {attempt, number, runner: choice.runner, ended};
  }

  /** Records that a run delivers that was started beside a silent one. */
  recordDelivery(progress: CallProgress, runner: Runner): void {
    this.options.choiceRecorder.recordSession(progress, runner);
  }

  private async run(
    {progress, choice}: AttemptRequest,
    attempt: Attempt,
    number: number,
  ): Promise<AttemptOutcome> {
    const {clock, reachability, attemptRecorder, crashAttribution} =
      this.options;
    const {isConcentrated} = progress;
    const startedAt = clock.now();
    const expectedLatencyMs = estimateLatencyMs(choice);
    const isUnloaded = isWithoutOtherWork(choice);
    const stopTracking = attemptRecorder.recordStart(progress, choice, () =>
      attempt.firstOutputAt === undefined
        ? Math.max(0, reachability.heardAt - startedAt)
        : undefined,
    );
    const stopWatching = crashAttribution.watch(
      progress.call,
      choice.runner,
      attempt,
    );
    const outcome = await attempt.run();
    stopWatching();
    const {call, workMs} = progress;
    if (attempt.isAdmitted)
      this.options.overloadControlOf(call.service).recordEnded(workMs);
    stopTracking();
    const latencyMs =
      attempt.firstOutputAt === undefined
        ? undefined
        : attempt.firstOutputAt - startedAt;
    const durationMs = clock.now() - startedAt;
    const eventIntervalMs = computeEventIntervalMs(
      durationMs - attempt.pausedMs,
      latencyMs,
      attempt.eventCount,
    );
    attemptRecorder.recordEnd(progress, choice, outcome, {
      latencyMs,
      eventIntervalMs,
      eventCount: attempt.eventCount,
      durationMs,
      expectedLatencyMs,
      isUnloaded,
      isConcentrated,
      wasSilent: attempt.wasSilent,
    });
    crashAttribution.recordOutcome(
      progress.call,
      choice.runner,
      attempt,
      outcome,
    );
    this.logEnd(progress, choice, attempt, {
      number,
      outcome,
      latencyMs,
      durationMs,
    });
    return outcome;
  }

  private logEnd(
    {call}: CallProgress,
    {runner}: RunnerChoice,
    {lastEventId, hasHead, statement, sentAfterMs, callerAgeMs}: Attempt,
    {number, outcome, latencyMs, durationMs}: EndedAttempt,
  ): void {
    this.options.log.write('attempt_ended', {
      request: call.id,
      attempt: number,
      runner: runner.entry.id,
      outcome: outcome.kind,
      reason: outcome.reason,
      status: outcome.status,
      begun: hasHead,
      sentMs: toRounded(sentAfterMs),
      callerAgeMs: toRounded(callerAgeMs),
      confidence: outcome.confidence,
      namedLimit: statement?.limit.perSecond,
      isLeaving: statement?.leaving.isLeaving || undefined,
      restMs: statement?.rest.forMs,
      firstMs: toRounded(latencyMs),
      lastEvent: lastEventId,
      forMs: Math.round(durationMs),
    });
  }

  /** Records that a response makes this host do so much that it has to wait. */
  private recordPaced(
    {call}: CallProgress,
    {entry}: Runner,
    units: number,
  ): void {
    const {log, metrics} = this.options;
    const {id: runner, service} = entry;
    metrics.pacedResponses.inc({service});
    const ageMs = Math.round(this.options.clock.now() - call.completedAt);
    log.write('response_paced', {request: call.id, runner, units, ageMs});
  }

  /** Records that a response was given up, as this host needed the memory. */
  private recordGivenUp(
    {call}: CallProgress,
    {entry}: Runner,
    bytes: number,
  ): void {
    const {log, metrics} = this.options;
    const {id: runner, service} = entry;
    metrics.givenUpResponses.inc({service});
    log.write('response_given_up', {request: call.id, runner, bytes});
  }

  private createAttempt(
    {progress, ...request}: AttemptRequest,
    reservation: RetryReservation | undefined,
  ): Attempt {
    const {clock, connectionReads, headerNames, headerBuilder, workShare} =
      this.options;
    const {call, model} = progress;
    const {runner} = request.choice;
    const onSilent = () => {
      this.options.crashAttribution.noteSilence(runner);
      request.onSilent();
    };
    return new Attempt({
      ...request,
      onSilent,
      onPaced: units => this.recordPaced(progress, runner, units),
      onGivenUp: bytes => this.recordGivenUp(progress, runner, bytes),
      clock,
      connectionReads,
      workShare,
      headerNames,
      headerBuilder,
      call,
      model,
      enginePriority: progress.enginePriority,
      admit: () => this.admit(progress, runner, reservation),
    });
  }

  /**
   * Checks whether the request is held back, the time until this host stops, rate limit and retry budget right before a
   * request is sent: it may have waited for its runner.
   *
   * @returns why it must not be sent; undefined if it may, in which case it is counted as sent
   */
  private admit(
    progress: CallProgress,
    runner: Runner,
    reservation: RetryReservation | undefined,
  ): string | undefined {
    const {gate, retryPolicy, priorityAdmissionOf, overloadControlOf} =
      this.options;
    const {call, workMs} = progress;
    const {service, priority} = call;
    if (findHold(call, this.options)) return SuccessorRefusal.QUARANTINED;
    if (!retryPolicy.canEnd(progress)) return SuccessorRefusal.HOST_STOPPING;
    const rejection =
      gate.admit(runner) ?? retryPolicy.spendReservation(reservation);
    if (rejection !== undefined) return rejection;
    progress.recordAdmitted();
    this.options.quarantine.noteSent(call.fingerprint);
    priorityAdmissionOf(service).recordSent(priority);
    overloadControlOf(service).recordSent(workMs);
    return undefined;
  }
}

function toRounded(ms: number | undefined): number | undefined {
  return ms === undefined ? undefined : Math.round(ms);
}

/** Whether an engine has little other work queued, or a plain runner has a free slot. */
function isWithoutOtherWork({workMs, waitMs}: RunnerChoice): boolean {
  if (workMs === 0) return waitMs === 0;
  return waitMs < workMs * MAX_OTHER_WORK_SHARE;
}
