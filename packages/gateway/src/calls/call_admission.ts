import {refinePriority, TokenBucket} from '@bayspool/decisions/admission';
import type {
  AdmissionDecision,
  OverloadControl,
} from '@bayspool/decisions/admission';
import type {WorkEstimator} from '@bayspool/decisions/capacity';
import type {Clock} from '@bayspool/kernel';
import type {StopAdmission} from '../lifecycle/stop_admission.js';
import {StopPhase} from '../lifecycle/stop_phase.js';
import type {EventLog} from '../observability/event_log.js';
import type {GatewayMetrics} from '../observability/gateway_metrics.js';
import {roundToHundredths} from '../observability/round_to_hundredths.js';
import type {PrefillRates} from '../runners/prefill_rates.js';
import type {Runner} from '../runners/runner.js';
import type {CallCandidates} from './call_candidates.js';
import type {CallProgress} from './call_progress.js';
import type {CallRejection} from './call_rejection.js';
import type {IncomingCall} from './incoming_call.js';

interface Options {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: GatewayMetrics;
  readonly candidates: CallCandidates;
  readonly work: WorkEstimator;
  readonly rates: PrefillRates;
  readonly stopAdmission: StopAdmission;
  readonly overloadControlOf: (service: string) => OverloadControl;
  /** The next less urgent priority among the routes of a service; Infinity if there is none. */
  readonly nextPriorityOf: (service: string, priority: number) => number;
}

/** Part of a route's latency target that its calls are taken to need until their work is known. */
const UNKNOWN_WORK_SHARE = 0.25;
/** Log lines on single calls, per second and at once: an overload rejects hundreds of calls per second. */
const LINES_PER_SECOND = 20;
const MAX_LINES_AT_ONCE = 50;

/** Asks the admission control of a call's service before the call's first attempt. */
export class CallAdmission {
  private readonly lines: TokenBucket;
  private omittedLines = 0;

  constructor(private readonly options: Options) {
    const {clock} = options;
    const perSecond = LINES_PER_SECOND;
    this.lines = new TokenBucket({clock, perSecond, burst: MAX_LINES_AT_ONCE});
  }

  /**
   * Waits until a call may be sent to a runner. Calls that were decided on, or whose caller has a part of the response,
   * don't wait.
   *
   * @returns why it is not sent; undefined if it may be sent
   */
  async findRejection(
    progress: CallProgress,
    signal: AbortSignal,
  ): Promise<CallRejection | undefined> {
    const {call, startedByVersion} = progress;
    if (progress.isAdmitted) return undefined;
    progress.isAdmitted = true;
    const {work: workMs, model} = this.estimateWork(progress);
    progress.workMs = workMs;
    if (startedByVersion !== undefined || this.hasOtherLimits(call))
      return undefined;
    const {overloadControlOf} = this.options;
    const {acceptedAt, route} = call;
    const targetAt = acceptedAt + route.latencyTargetMs;
    const control = overloadControlOf(call.service);
    const decision = await this.request(control, progress, signal);
    if (!('isSent' in decision)) return decision;
    if (control.isShort && model !== undefined)
      progress.enginePriority = this.refine(call, targetAt, workMs);
    this.record(call, workMs, decision);
    if (decision.isSent) return undefined;
    return {reason: decision.reason, admission: {...decision, workMs}};
  }

  /** Asks for a decision; while it waits, a stop of this host may come before it. */
  private async request(
    control: OverloadControl,
    {call, workMs, stopPhase}: CallProgress,
    signal: AbortSignal,
  ): Promise<AdmissionDecision | CallRejection> {
    const {priority, workspace, acceptedAt, deadlineAt, route} = call;
    const targetAt = acceptedAt + route.latencyTargetMs;
    const request = {priority, workspace, targetAt, deadlineAt, workMs};
    // No call waits then, and the guard costs more than the decision.
    if (!control.isShort) return control.request(request, signal);
    return this.options.stopAdmission.guard(
      call,
      stopPhase === StopPhase.RETRY ? stopPhase : StopPhase.ADMISSION,
      signal,
      waitSignal => control.request(request, waitSignal),
    );
  }

  /** Whether no runner is known, or runners state limits, by which other rules admit calls. */
  private hasOtherLimits(call: IncomingCall): boolean {
    const runners = this.options.candidates.listFor(call);
    return runners.length === 0 || runners.some(hasDeclaredLimit);
  }

  private estimateWork({call, model}: CallProgress) {
    const {work, rates} = this.options;
    const {route, prompt} = call;
    if (prompt && model !== undefined) {
      const {workMs} = work.estimateEngine({
        route: route.name,
        promptTokens: prompt.tokens,
        msPerToken: rates.getMsPerToken(model),
      });
      return {work: workMs, model};
    }
    const known = work.estimatePlain(route.name).workMs;
    const unknown = route.latencyTargetMs * UNKNOWN_WORK_SHARE;
    return {work: known > 0 ? known : unknown};
  }

  private refine(call: IncomingCall, targetAt: number, workMs: number): number {
    const {clock, nextPriorityOf} = this.options;
    const {priority, service} = call;
    const nextPriority = nextPriorityOf(service, priority);
    const slackMs = targetAt - clock.now() - workMs;
    return refinePriority({priority, nextPriority, slackMs, workMs});
  }

  private record(
    call: IncomingCall,
    workMs: number,
    decision: AdmissionDecision,
  ): void {
    const {log, metrics} = this.options;
    const {service, priority, workspace} = call;
    const {isSent, reason, waitedMs} = decision;
    const outcome = isSent ? 'sent' : 'rejected';
    metrics.admissions.inc({service, outcome, reason});
    if (isSent && waitedMs === 0) return;
    if (this.lines.take() > 0) {
      this.omittedLines++;
      return;
    }
    log.write('admission_decided', {
      request: call.id,
      service,
      priority,
      workspace,
      outcome,
      reason,
      workMs: Math.round(workMs),
      waitedMs: Math.round(waitedMs),
      expectedWaitMs: toWholeMs(decision.expectedWaitMs),
      hostShare: roundToHundredths(decision.hostShare),
      sparePerMs: roundToHundredths(decision.sparePerMs),
      peersAgeMs: toWholeMs(decision.peersAgeMs),
      omittedLines: this.omittedLines || undefined,
    });
    this.omittedLines = 0;
  }
}

function hasDeclaredLimit({limit}: Runner): boolean {
  return limit.perSecond !== undefined;
}

/** Whole ms; null if infinite. */
function toWholeMs(ms: number): number | null {
  return Number.isFinite(ms) ? Math.round(ms) : null;
}
