import type {
  AdmissionDecision,
  RetrySchedule,
  RetryTime,
} from '@bayspool/decisions/admission';
import {durationKeyOf} from '@bayspool/decisions/capacity';
import type {DurationEstimator} from '@bayspool/decisions/capacity';
import type {Clock, RandomSource} from '@bayspool/kernel';
import type {EventFields} from '../observability/event_fields.js';
import type {EventLog} from '../observability/event_log.js';
import type {GatewayMetrics} from '../observability/gateway_metrics.js';
import type {StopAdmission} from '../lifecycle/stop_admission.js';
import type {StopSchedule} from '../lifecycle/stop_schedule.js';
import {RELAY_REFUSED} from '../relay/relay_refused.js';
import type {Runner} from '../runners/runner.js';
import type {RunnerReachability} from '../runners/runner_reachability.js';
import type {AttemptOutcome} from './attempt_outcome.js';
import {AbortReason} from './abort_reason.js';
import type {QuarantineHold} from '../quarantine/quarantine_hold.js';
import type {CallProgress} from './call_progress.js';
import type {CallRejection} from './call_rejection.js';
import type {CallerResponse} from './caller_response.js';
import type {IncomingCall} from './incoming_call.js';
import type {LocalResponse} from './local_response.js';
import {chooseRetryAfterMs} from './choose_retry_after_ms.js';
import {chooseRetryTime} from './choose_retry_time.js';
import {toRetryFields} from './to_retry_fields.js';

interface Options {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: EventLog;
  readonly metrics: GatewayMetrics;
  readonly reachability: RunnerReachability;
  readonly stopSchedule: StopSchedule;
  /** Knows what was decided about calls that were begun during the stop. */
  readonly stopAdmission: Pick<StopAdmission, 'findBegun'>;
  /** Learns from answered calls how long such calls take. */
  readonly durations: DurationEstimator;
  /** Reserves capacity of a service for the retries of rejected calls. */
  readonly retryScheduleOf: (service: string) => RetrySchedule;
}

type StopFields = Partial<
  Pick<
    EventFields['request_cut'],
    'model' | 'needMs' | 'basis' | 'leftMs' | 'begunMs' | 'stoppingMs' | 'endMs'
  >
>;

/** Statuses of responses that the gateway generates itself. */
const STATUS = {BAD_GATEWAY: 502, UNAVAILABLE: 503, GATEWAY_TIMEOUT: 504};

/** Ends a call: sends the final response to the caller, and writes its log entry and metrics. */
export class CallFinisher {
  /** Calls that have ended; one that was given up may try to end once more. */
  private readonly ended = new WeakSet<CallProgress>();

  constructor(private readonly options: Options) {}

  /** Records an answered call; a buffered response is sent now. */
  finishAnswered(
    progress: CallProgress,
    outcome: AttemptOutcome,
    runner: Runner,
    caller: CallerResponse,
  ): void {
    if (!this.markEnded(progress)) return;
    const {clock, log, metrics} = this.options;
    const {call} = progress;
    if (outcome.response && !caller.isClosed)
      caller.sendBuffered(outcome.response);
    const {name: route} = call.route;
    const firstByteAt = caller.firstByteAt ?? clock.now();
    const forMs = clock.now() - call.acceptedAt;
    this.countEnded(call, 'answered');
    if (!caller.isContinued && !caller.wasReadSlowly)
      this.recordDuration(progress);
    if (!call.relayOrigin) {
      const firstByteMs = firstByteAt - call.acceptedAt;
      metrics.firstByteSeconds.observe({route}, firstByteMs / 1000);
      metrics.requestSeconds.observe({route}, forMs / 1000);
    }
    log.write('request_answered', {
      request: call.id,
      status: outcome.status ?? 0,
      attempts: progress.attemptCount,
      runner: runner.entry.id,
      events: caller.eventCount || undefined,
      firstMs: Math.round(firstByteAt - call.acceptedAt),
      longestPauseMs: caller.eventCount
        ? Math.round(caller.longestPauseMs)
        : undefined,
      forMs: Math.round(forMs),
    });
  }

  /**
   * Rejects a call whose request, or a part of its prompt, is quarantined. It has not run, and would be
   * rejected again until the quarantine ends.
   */
  rejectQuarantined(
    progress: CallProgress,
    caller: CallerResponse,
    {reason, remainingMs, part}: QuarantineHold,
  ): void {
    if (!this.markEnded(progress)) return;
    const retryAfterMs = Math.round(remainingMs);
    const {id: request} = progress.call;
    if (part !== undefined)
      this.options.log.write('part_held_back', {request, part});
    const response = {status: STATUS.UNAVAILABLE, reason, retryAfterMs};
    if (!caller.isClosed) caller.sendLocal(response);
    this.recordFailed(progress, response);
  }

  /** Rejects a call for which no runner is available now. */
  reject(
    progress: CallProgress,
    caller: CallerResponse,
    rejection: CallRejection,
  ): void {
    this.endUnanswered(progress, caller, rejection);
  }

  /**
   * Ends a call that no runner answered successfully.
   *
   * @param minRetryMs time until the call could be accepted, in ms
   */
  finishUnanswered(
    progress: CallProgress,
    caller: CallerResponse,
    reason: string,
    minRetryMs?: number,
  ): void {
    this.endUnanswered(progress, caller, {reason, minRetryMs});
  }

  /** Marks a call as ended. @returns false if it had ended before */
  private markEnded(progress: CallProgress): boolean {
    if (this.ended.has(progress)) return false;
    this.ended.add(progress);
    return true;
  }

  private endUnanswered(
    progress: CallProgress,
    caller: CallerResponse,
    rejection: CallRejection,
  ): void {
    if (!this.markEnded(progress)) return;
    const {clock, log} = this.options;
    const {reason} = rejection;
    const {call} = progress;
    const forMs = Math.round(clock.now() - call.acceptedAt);
    const attempts = progress.attemptCount;
    const request = call.id;
    if (reason === AbortReason.CALLER_DISCONNECTED) {
      this.countEnded(call, 'left', reason);
      log.write('caller_left', {request, attempts, reason, forMs});
      return;
    }
    if (caller.hasStarted) {
      caller.abort();
      this.countEnded(call, 'cut', reason);
      const lastEvent = caller.lastEventId;
      log.write('request_cut', {
        request,
        reason,
        attempts,
        lastEvent,
        ...this.describeStop(progress),
        forMs,
      });
      return;
    }
    const failure = progress.lastErrorResponse;
    if (failure && !caller.isClosed) caller.sendBuffered(failure);
    const response = this.createLocalResponse(progress, rejection);
    if (!failure && !caller.isClosed) caller.sendLocal(response);
    this.recordFailed(
      progress,
      failure ? {status: failure.status, reason} : response,
    );
  }

  private recordFailed(
    progress: CallProgress,
    {status, reason, retryAfterMs, retryTime}: LocalResponse,
  ): void {
    const {call, attemptCount, mayHaveRun} = progress;
    const {clock, log, reachability} = this.options;
    const {silentMs} = reachability;
    this.countEnded(call, 'failed', reason);
    log.write('request_failed', {
      request: call.id,
      status,
      reason,
      attempts: attemptCount,
      hasRun: mayHaveRun ? 'maybe' : 'no',
      runnersSilentMs: silentMs && Math.round(silentMs),
      retryAfterMs,
      ...toRetryFields(retryTime),
      ...this.describeStop(progress),
      forMs: Math.round(clock.now() - call.acceptedAt),
    });
  }

  /** Describes how a call arrived, was begun and ended during a shutdown; empty if it ended before. */
  private describeStop({call, model}: CallProgress): StopFields {
    const {clock, stopSchedule, stopAdmission} = this.options;
    const endMs = stopSchedule.computeStoppingMs(clock.now());
    if (endMs === undefined) return {};
    const begun = stopAdmission.findBegun(call);
    return {
      model,
      needMs: toRounded(begun?.need.needMs),
      basis: begun?.need.basis,
      leftMs: toRounded(begun?.leftMs),
      begunMs: toRounded(begun?.stoppingMs),
      stoppingMs: toRounded(stopSchedule.computeStoppingMs(call.acceptedAt)),
      endMs: Math.round(endMs),
    };
  }

  private recordDuration(progress: CallProgress): void {
    const {clock, durations} = this.options;
    const {call, model, modelSince, relayCount} = progress;
    const {route, prompt} = call;
    // The host that took the call from this one has chosen the model.
    if (relayCount > 0 && route.models.length > 0) return;
    durations.record({
      route: durationKeyOf(route, model),
      outputTokens: prompt?.lengthHint ?? prompt?.maxOutputTokens,
      durationMs: clock.now() - modelSince,
    });
  }

  /** Counts a request that ended; a relayed call is counted by the host whose caller sent it. */
  private countEnded(
    {route: {name: route, kind}, relayOrigin}: IncomingCall,
    outcome: string,
    reason = '',
  ): void {
    if (relayOrigin) return;
    const label = toReasonLabel(reason);
    this.options.metrics.requests.inc({route, kind, outcome, reason: label});
  }

  private createLocalResponse(
    progress: CallProgress,
    {reason, minRetryMs, retryAfterMs, admission}: CallRejection,
  ): LocalResponse {
    if (!progress.mayHaveRun && retryAfterMs !== undefined) {
      // The host that relayed the call asks the next one.
      const isRelayed = progress.call.relayOrigin !== undefined;
      const status = isRelayed ? RELAY_REFUSED : STATUS.UNAVAILABLE;
      return {status, reason, retryAfterMs};
    }
    if (!progress.mayHaveRun) {
      const {random} = this.options;
      const retryTime = admission && this.reserveRetry(progress, admission);
      const afterMs = retryTime
        ? Math.max(retryTime.afterMs, minRetryMs ?? 0)
        : chooseRetryAfterMs(random, minRetryMs);
      const roundedMs = Math.round(afterMs);
      const retry = {retryAfterMs: roundedMs, retryTime};
      return {status: STATUS.UNAVAILABLE, reason, ...retry};
    }
    const status =
      reason === AbortReason.TIME_LIMIT
        ? STATUS.GATEWAY_TIMEOUT
        : STATUS.BAD_GATEWAY;
    return {status, reason};
  }

  private reserveRetry(
    {call}: CallProgress,
    admission: AdmissionDecision,
  ): RetryTime | undefined {
    const {clock, metrics, retryScheduleOf} = this.options;
    const {service} = call;
    const schedule = retryScheduleOf(service);
    const now = clock.now();
    const retryTime = chooseRetryTime({call, admission, schedule, now});
    const result = toRetryResult(retryTime);
    metrics.scheduledRetries.inc({service, result});
    return retryTime;
  }
}

function toRounded(ms: number | undefined): number | undefined {
  return ms === undefined ? undefined : Math.round(ms);
}

function toRetryResult(retryTime: RetryTime | undefined): string {
  if (!retryTime) return 'unknown capacity';
  return retryTime.isReserved ? 'reserved' : 'beyond horizon';
}

/** Converts a reason to a metric label; dropping the numbers keeps the set of labels bounded. */
function toReasonLabel(reason: string): string {
  return reason.replace(/[^a-zA-Z ]+/g, '').trim();
}
