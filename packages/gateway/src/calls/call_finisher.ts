import type {Clock, RandomSource} from '@bayspool/kernel';
import type {EventLog} from '../observability/event_log.js';
import type {GatewayMetrics} from '../observability/gateway_metrics.js';
import type {Runner} from '../runners/runner.js';
import type {AttemptOutcome} from './attempt_outcome.js';
import {AbortReason} from './abort_reason.js';
import type {CallProgress} from './call_progress.js';
import type {CallRefusal} from './call_refusal.js';
import type {CallerResponse} from './caller_response.js';
import type {LocalResponse} from './local_response.js';
import {chooseRetryAfterMs} from './choose_retry_after_ms.js';

interface Options {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: EventLog;
  readonly metrics: GatewayMetrics;
}

/** What is said to a caller when nothing else can be. */
const STATUS = {BAD_GATEWAY: 502, UNAVAILABLE: 503, GATEWAY_TIMEOUT: 504};

/** The end of a call towards its caller: the last answer, its log entry and its metrics. */
export class CallFinisher {
  constructor(private readonly options: Options) {}

  /** Records an answered call; an answer that was received whole is sent now. */
  finishAnswered(
    progress: CallProgress,
    outcome: AttemptOutcome,
    runner: Runner,
    caller: CallerResponse,
  ): void {
    const {clock, log, metrics} = this.options;
    const {call} = progress;
    if (outcome.response && !caller.isClosed)
      caller.sendBuffered(outcome.response);
    const {name: route, kind} = call.route;
    const firstAt = caller.firstByteAt ?? clock.now();
    const forMs = clock.now() - call.acceptedAt;
    metrics.requests.inc({route, kind, outcome: 'answered', reason: ''});
    metrics.firstSeconds.observe({route}, (firstAt - call.acceptedAt) / 1000);
    metrics.totalSeconds.observe({route}, forMs / 1000);
    log.write('request_answered', {
      request: call.id,
      status: outcome.status ?? 0,
      attempts: progress.attemptCount,
      runner: runner.entry.id,
      events: caller.eventCount || undefined,
      firstMs: Math.round(firstAt - call.acceptedAt),
      longestPauseMs: caller.eventCount
        ? Math.round(caller.longestPauseMs)
        : undefined,
      forMs: Math.round(forMs),
    });
  }

  /** Refuses a call whose request is held back: it has not run, and would only be refused again before then. */
  refuseQuarantined(
    progress: CallProgress,
    caller: CallerResponse,
    forMs: number,
  ): void {
    const retryAfterMs = Math.round(forMs);
    const reason = 'held back: runners end under this request';
    const own = {status: STATUS.UNAVAILABLE, reason, retryAfterMs};
    if (!caller.isClosed) caller.sendLocal(own);
    this.recordFailed(progress, own);
  }

  /** Ends a call for which there is no runner now. */
  refuse(
    progress: CallProgress,
    caller: CallerResponse,
    {reason, minRetryMs: waitMs}: CallRefusal,
  ): void {
    this.finishUnanswered(progress, caller, reason, waitMs);
  }

  /**
   * Gives the final answer of a call that no runner answered well.
   *
   * @param waitMs time before which it would only be refused again, in ms
   */
  finishUnanswered(
    progress: CallProgress,
    caller: CallerResponse,
    reason: string,
    waitMs?: number,
  ): void {
    const {clock, log, metrics} = this.options;
    const {call} = progress;
    const forMs = Math.round(clock.now() - call.acceptedAt);
    const attempts = progress.attemptCount;
    const request = call.id;
    const {name: route, kind} = call.route;
    const why = toReasonLabel(reason);
    if (reason === AbortReason.CALLER_DISCONNECTED) {
      metrics.requests.inc({route, kind, outcome: 'left', reason: why});
      log.write('caller_left', {request, attempts, reason, forMs});
      return;
    }
    if (caller.hasStarted) {
      caller.abort();
      metrics.requests.inc({route, kind, outcome: 'cut', reason: why});
      const lastEvent = caller.lastEventId;
      log.write('request_cut', {request, reason, attempts, lastEvent, forMs});
      return;
    }
    const failed = progress.lastErrorResponse;
    if (failed && !caller.isClosed) caller.sendBuffered(failed);
    const own = this.createLocalResponse(progress, reason, waitMs);
    if (!failed && !caller.isClosed) caller.sendLocal(own);
    this.recordFailed(progress, failed ? {status: failed.status, reason} : own);
  }

  private recordFailed(
    {call, attemptCount: tries, mayHaveRun}: CallProgress,
    {status, reason, retryAfterMs}: LocalResponse,
  ): void {
    const {clock, log, metrics} = this.options;
    const {name: route, kind} = call.route;
    const why = toReasonLabel(reason);
    metrics.requests.inc({route, kind, outcome: 'failed', reason: why});
    log.write('request_failed', {
      request: call.id,
      status,
      reason,
      attempts: tries,
      hasRun: mayHaveRun ? 'maybe' : 'no',
      retryAfterMs,
      forMs: Math.round(clock.now() - call.acceptedAt),
    });
  }

  private createLocalResponse(
    progress: CallProgress,
    reason: string,
    waitMs?: number,
  ): LocalResponse {
    const {random} = this.options;
    if (!progress.mayHaveRun) {
      const retryAfterMs = Math.round(chooseRetryAfterMs(random, waitMs));
      return {status: STATUS.UNAVAILABLE, reason, retryAfterMs};
    }
    const status =
      reason === AbortReason.TIME_LIMIT
        ? STATUS.GATEWAY_TIMEOUT
        : STATUS.BAD_GATEWAY;
    return {status, reason};
  }
}

/** Reasons as metric labels: a bounded set, without numbers. */
function toReasonLabel(reason: string): string {
  return reason.replace(/[^a-zA-Z ]+/g, '').trim();
}
