import type {Clock, RandomSource} from '@bayspool/kernel';
import type {EventLog} from '../observability/event_log.js';
import type {GatewayMetrics} from '../observability/gateway_metrics.js';
import type {Runner} from '../runners/runner.js';
import type {AttemptOutcome} from './attempt_outcome.js';
import {CallEnd} from './call_end.js';
import type {CallProgress} from './call_progress.js';
import type {CallRefusal} from './call_refusal.js';
import type {CallerAnswer} from './caller_answer.js';
import type {OwnAnswer} from './own_answer.js';
import {chooseRetryAfter} from './retry_after.js';

interface Options {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: EventLog;
  readonly metrics: GatewayMetrics;
}

/** What is said to a caller when nothing else can be. */
const STATUS = {BAD_GATEWAY: 502, UNAVAILABLE: 503, GATEWAY_TIMEOUT: 504};

/** The end of a call towards its caller: the last answer, its log entry and its metrics. */
export class FinalAnswer {
  constructor(private readonly options: Options) {}

  /** Records an answered call; an answer that was received whole is sent now. */
  answer(
    progress: CallProgress,
    outcome: AttemptOutcome,
    runner: Runner,
    caller: CallerAnswer,
  ): void {
    const {clock, log, metrics} = this.options;
    const {call} = progress;
    if (outcome.answer && !caller.isClosed) caller.sendWhole(outcome.answer);
    const {name: route, kind} = call.route;
    const firstAt = caller.firstByteAt ?? clock.now();
    const forMs = clock.now() - call.acceptedAt;
    metrics.requests.inc({route, kind, outcome: 'answered', reason: ''});
    metrics.firstSeconds.observe({route}, (firstAt - call.acceptedAt) / 1000);
    metrics.totalSeconds.observe({route}, forMs / 1000);
    log.write('request_answered', {
      request: call.id,
      status: outcome.status ?? 0,
      attempts: progress.tries,
      runner: runner.entry.id,
      events: caller.events || undefined,
      firstMs: Math.round(firstAt - call.acceptedAt),
      longestPauseMs: caller.events
        ? Math.round(caller.longestPauseMs)
        : undefined,
      forMs: Math.round(forMs),
    });
  }

  /** Refuses a call whose request is held back: it has not run, and would only be refused again before then. */
  refuseHeld(
    progress: CallProgress,
    caller: CallerAnswer,
    forMs: number,
  ): void {
    const retryAfterMs = Math.round(forMs);
    const reason = 'held back: runners end under this request';
    const own = {status: STATUS.UNAVAILABLE, reason, retryAfterMs};
    if (!caller.isClosed) caller.sendOwn(own);
    this.noteFailed(progress, own);
  }

  /** Ends a call for which there is no runner now. */
  refuse(
    progress: CallProgress,
    caller: CallerAnswer,
    {reason, waitMs}: CallRefusal,
  ): void {
    this.finish(progress, caller, reason, waitMs);
  }

  /**
   * Gives the final answer of a call that no runner answered well.
   *
   * @param waitMs time before which it would only be refused again, in ms
   */
  finish(
    progress: CallProgress,
    caller: CallerAnswer,
    reason: string,
    waitMs?: number,
  ): void {
    const {clock, log, metrics} = this.options;
    const {call} = progress;
    const forMs = Math.round(clock.now() - call.acceptedAt);
    const attempts = progress.tries;
    const request = call.id;
    const {name: route, kind} = call.route;
    const why = reasonLabel(reason);
    if (reason === CallEnd.CALLER_LEFT) {
      metrics.requests.inc({route, kind, outcome: 'left', reason: why});
      log.write('caller_left', {request, attempts, reason, forMs});
      return;
    }
    if (caller.hasBegun) {
      caller.cut();
      metrics.requests.inc({route, kind, outcome: 'cut', reason: why});
      const lastEvent = caller.lastEventId;
      log.write('request_cut', {request, reason, attempts, lastEvent, forMs});
      return;
    }
    const failed = progress.lastError;
    if (failed && !caller.isClosed) caller.sendWhole(failed);
    const own = this.ownAnswer(progress, reason, waitMs);
    if (!failed && !caller.isClosed) caller.sendOwn(own);
    this.noteFailed(progress, failed ? {status: failed.status, reason} : own);
  }

  private noteFailed(
    {call, tries, mayHaveRun}: CallProgress,
    {status, reason, retryAfterMs}: OwnAnswer,
  ): void {
    const {clock, log, metrics} = this.options;
    const {name: route, kind} = call.route;
    const why = reasonLabel(reason);
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

  private ownAnswer(
    progress: CallProgress,
    reason: string,
    waitMs?: number,
  ): OwnAnswer {
    const {random} = this.options;
    if (!progress.mayHaveRun) {
      const retryAfterMs = Math.round(chooseRetryAfter(random, waitMs));
      return {status: STATUS.UNAVAILABLE, reason, retryAfterMs};
    }
    const status =
      reason === CallEnd.TIME_LIMIT
        ? STATUS.GATEWAY_TIMEOUT
        : STATUS.BAD_GATEWAY;
    return {status, reason};
  }
}

/** Reasons as metric labels: a bounded set, without numbers. */
function reasonLabel(reason: string): string {
  return reason.replace(/[^a-zA-Z ]+/g, '').trim();
}
