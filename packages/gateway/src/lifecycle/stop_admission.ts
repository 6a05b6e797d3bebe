import type {CallRoute} from '@bayspool/decisions/calls';
import {durationKeyOf} from '@bayspool/decisions/capacity';
import type {DurationEstimator} from '@bayspool/decisions/capacity';
import type {Clock, RandomSource} from '@bayspool/kernel';
import type {CallHead} from '../calls/call_head.js';
import type {CallRejection} from '../calls/call_rejection.js';
import type {EventLog} from '../observability/event_log.js';
import type {GatewayMetrics} from '../observability/gateway_metrics.js';
import type {BegunCall} from './begun_call.js';
import type {CallNeed} from './call_need.js';
import {NeedBasis} from './need_basis.js';
import type {EscalationRoom} from './escalation_room.js';
import {StopPhase} from './stop_phase.js';
import type {StopSchedule} from './stop_schedule.js';

interface Options {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: EventLog;
  readonly metrics: GatewayMetrics;
  readonly schedule: StopSchedule;
  readonly durations: DurationEstimator;
  /** The model that calls of a route start with; undefined if it has no models of its own. */
  readonly firstModelOf: (route: CallRoute) => string | undefined;
  /** Whether callers have had time to turn to other hosts. */
  readonly isClosing: () => boolean;
  /** Whether another host takes callers, as far as is known. */
  readonly doOthersServe: () => boolean;
}

/** What is known of the time that a call takes before it is sent. */
type CallLength = Parameters<DurationEstimator['estimateLongMs']>[0];

/** A call that waits to be sent to a runner. */
interface WaitingCall {
  readonly call: CallHead;
  readonly phase: StopPhase;
  readonly onRefused: (rejection: CallRejection) => void;
}

/** Why a call is refused that the stop would abort. */
const REASON = 'host is stopping before the response could end';
/** Why a call is refused late in a stop although it may end in time: another host takes it. */
const OTHERS_SERVE_REASON = 'host is stopping and others take callers';
/** Maximum of the random time after which a caller should turn to another host, in ms: it spreads their connections. */
const MAX_RETRY_AFTER_MS = 50;
/** How many times the expected time has to be left late in a stop: the runner may be slower than those that answered before. */
const LATE_ROOM_FACTOR = 3;

/**
 * Decides whether a stopping host begins a call. One that would not end before open calls are aborted is refused as soon
 * as that is known, so that its caller has the time elsewhere. A call is begun once it was sent to a runner.
 *
 * Once callers have turned elsewhere, none is begun that another host may take: what other calls of its route took does
 * not bind its runner, and only its own time limit bounds it.
 */
export class StopAdmission {
  private readonly waiting = new Set<WaitingCall>();
  private readonly begun = new WeakMap<CallHead, BegunCall>();
  private refused = 0;

  constructor(private readonly options: Options) {}

  /** Number of calls that were refused. */
  get refusedCount(): number {
    return this.refused;
  }

  /**
   * Whether a call may be sent now.
   *
   * @param phase tells a call that was sent before from one that is to be begun
   * @param model the one that is to run it; that with which calls of its route start if absent
   */
  canEnd(call: CallHead, phase: StopPhase, model?: string): boolean {
    const {leftMs} = this.options.schedule;
    if (leftMs === Infinity) return true;
    return this.estimateNeed(call, phase, model).needMs <= leftMs;
  }

  /**
   * Decides whether a smaller model's response, which is ready, may be dropped for one of the largest model: not if that is
   * known to take longer than is left, and late in a stop only if its time limit ends in time.
   *
   * @returns undefined if the host does not stop
   */
  weighEscalation(call: CallHead, largest: string): EscalationRoom | undefined {
    const {schedule} = this.options;
    const {leftMs} = schedule;
    if (leftMs === Infinity) return undefined;
    const need = this.estimateEscalation(call, largest);
    const isEnough = need.needMs <= leftMs;
    if (isEnough) schedule.promise(need.needMs);
    return {need, leftMs, isEnough};
  }

  /** Late in a stop nothing is escalated but what its time limit bounds: an abort would cost the response that is ready. */
  private estimateEscalation(call: CallHead, largest: string): CallNeed {
    const {clock, durations, isClosing} = this.options;
    const limitMs = call.deadlineAt - clock.now();
    if (isClosing()) return {needMs: limitMs, basis: NeedBasis.TIME_LIMIT};
    const length = toLength(call, largest);
    const durationMs = durations.estimateLongMs(length);
    // While callers are still sent here, what is not known is begun, as a first call is.
    return this.limitNeed(durationMs ?? 0, limitMs, durationMs, length.route);
  }

  /** What was decided when a call was first sent to a runner during the stop; undefined if it was sent before. */
  findBegun(call: CallHead): BegunCall | undefined {
    return this.begun.get(call);
  }

  /**
   * Decides about a call that may be begun now, and logs the decision.
   *
   * @param model the one that is to run it; that with which calls of its route start if absent
   * @returns why it is refused; undefined if it is begun
   */
  findRejection(
    call: CallHead,
    phase: StopPhase,
    model?: string,
  ): CallRejection | undefined {
    const {leftMs} = this.options.schedule;
    if (leftMs === Infinity) return undefined;
    const need = this.estimateNeed(call, phase, model);
    if (need.needMs <= leftMs) {
      if (phase === StopPhase.ATTEMPT) this.recordBegun(call, need);
      if (isSent(phase)) this.options.schedule.promise(need.needMs);
      return undefined;
    }
    this.recordRefused(call, phase, need);
    const retryAfterMs = Math.round(
      this.options.random.next() * MAX_RETRY_AFTER_MS,
    );
    const isLeftToOthers = need.basis === NeedBasis.OTHERS_SERVE;
    const reason = isLeftToOthers ? OTHERS_SERVE_REASON : REASON;
    return {reason, retryAfterMs};
  }

  /**
   * Lets a call wait, and ends its wait if the call would no longer end.
   *
   * @param wait waits until the given signal is aborted, at most
   * @returns what the wait returned, or why the call is refused
   */
  async guard<T>(
    call: CallHead,
    phase: StopPhase,
    signal: AbortSignal,
    wait: (signal: AbortSignal) => Promise<T>,
  ): Promise<T | CallRejection> {
    const controller = new AbortController();
    let rejection: CallRejection | undefined;
    const onRefused = (found: CallRejection) => {
      rejection = found;
      controller.abort();
    };
    const waiting = {call, phase, onRefused};
    this.waiting.add(waiting);
    try {
      const result = await wait(AbortSignal.any([signal, controller.signal]));
      return rejection ?? result;
    } finally {
      this.waiting.delete(waiting);
    }
  }

  /** Decides anew about all calls that wait; to be called repeatedly while the host stops. */
  review(): void {
    for (const waiting of [...this.waiting]) {
      const {call, phase, onRefused} = waiting;
      const rejection = this.findRejection(call, phase);
      if (!rejection) continue;
      this.waiting.delete(waiting);
      onRefused(rejection);
    }
  }

  private estimateNeed(
    call: CallHead,
    phase: StopPhase,
    model = this.options.firstModelOf(call.route),
  ): CallNeed {
    const {clock, isClosing, doOthersServe} = this.options;
    const limitMs = call.deadlineAt - clock.now();
    const isLateBegin = isClosing() && phase !== StopPhase.RETRY;
    if (isLateBegin && doOthersServe())
      return {needMs: limitMs, basis: NeedBasis.OTHERS_SERVE};
    const length = toLength(call, model);
    const durationMs = this.estimateDurationMs(length);
    // A refusal costs a new connection then, and an abort the whole response: what is not known to end is not begun.
    const unknownMs = isClosing() ? limitMs : 0;
    const roomFactor = isLateBegin ? LATE_ROOM_FACTOR : 1;
    const needMs =
      durationMs === undefined ? unknownMs : durationMs * roomFactor;
    return this.limitNeed(needMs, limitMs, durationMs, length.route);
  }

  /** Limits what a call needs to its own time limit, and tells where it is taken from. */
  private limitNeed(
    needMs: number,
    limitMs: number,
    durationMs: number | undefined,
    durationKey: string,
  ): CallNeed {
    if (needMs > limitMs) return {needMs: limitMs, basis: NeedBasis.TIME_LIMIT};
    if (durationMs === undefined) return {needMs, basis: NeedBasis.UNKNOWN};
    const isBorrowed = this.options.durations.isBorrowed(durationKey);
    const basis = isBorrowed ? NeedBasis.OTHER_HOST : NeedBasis.DURATIONS;
    return {needMs, basis};
  }

  private estimateDurationMs(length: CallLength): number | undefined {
    const {durations, isClosing} = this.options;
    // While callers are still sent here, a refused one may meet the next host that stops; later it finds another at once.
    return isClosing()
      ? durations.estimateLongMs(length)
      : durations.estimateUsualMs(length);
  }

  /** Records a call the first time that it is sent during the stop: its later attempts have lines of their own. */
  private recordBegun(call: CallHead, need: CallNeed): void {
    if (this.begun.has(call)) return;
    const {clock, log, metrics, schedule} = this.options;
    const stoppingMs = clock.now() - schedule.startAt;
    this.begun.set(call, {need, leftMs: schedule.leftMs, stoppingMs});
    const {id: request, route} = call;
    const {basis} = need;
    metrics.stopBegun.inc({route: route.name, basis});
    const fields = this.describeDecision(call, need);
    log.write('stop_begun', {request, route: route.name, ...fields});
  }

  private recordRefused(
    call: CallHead,
    phase: StopPhase,
    need: CallNeed,
  ): void {
    const {log, metrics} = this.options;
    const {id: request, route} = call;
    const {basis} = need;
    this.refused += 1;
    metrics.stopRefusals.inc({route: route.name, phase, basis});
    const fields = this.describeDecision(call, need);
    log.write('stop_refused', {request, route: route.name, phase, ...fields});
  }

  private describeDecision({acceptedAt}: CallHead, {needMs, basis}: CallNeed) {
    const {clock, schedule} = this.options;
    return {
      needMs: Math.round(needMs),
      basis,
      leftMs: Math.round(schedule.leftMs),
      stoppingMs: Math.round(clock.now() - schedule.startAt),
      ageMs: Math.round(clock.now() - acceptedAt),
    };
  }
}

/** Whether a call is sent to a runner or to another host once it is decided that it can end. */
function isSent(phase: StopPhase): boolean {
  return phase === StopPhase.ATTEMPT || phase === StopPhase.RETRY;
}

function toLength(
  {route, prompt}: CallHead,
  model: string | undefined,
): CallLength {
  const outputTokens = prompt?.lengthHint ?? prompt?.maxOutputTokens;
  return {route: durationKeyOf(route, model), outputTokens};
}
