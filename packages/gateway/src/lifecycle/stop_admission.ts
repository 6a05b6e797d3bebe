import type {DurationEstimator} from '@bayspool/decisions/capacity';
import type {Clock, RandomSource} from '@bayspool/kernel';
import type {CallHead} from '../calls/call_head.js';
import type {CallRejection} from '../calls/call_rejection.js';
import type {EventLog} from '../observability/event_log.js';
import type {GatewayMetrics} from '../observability/gateway_metrics.js';
import type {StopPhase} from './stop_phase.js';
import type {StopSchedule} from './stop_schedule.js';

interface Options {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: EventLog;
  readonly metrics: GatewayMetrics;
  readonly schedule: StopSchedule;
  readonly durations: DurationEstimator;
}

/** A call that waits to be sent to a runner. */
interface WaitingCall {
  readonly call: CallHead;
  readonly phase: StopPhase;
  readonly onRefused: (rejection: CallRejection) => void;
}

/** Why a call is refused that the stop would abort. */
const REASON = 'host is stopping before the response could end';
/** Part of its time limit that a call is taken to need until one of its route has ended, early in a shutdown. */
const UNKNOWN_NEED_SHARE = 0.25;
/** Time from the start of a shutdown in which calls of unknown length are begun that may not end, in ms: callers turn elsewhere in it. */
const UNKNOWN_BEGUN_MS = 3_000;
/** Maximum of the random time after which a caller should turn to another host, in ms: it spreads their connections. */
const MAX_RETRY_AFTER_MS = 50;

/**
 * Decides whether a stopping host begins a call. One that would not end before open calls are aborted is refused as soon
 * as that is known, so that its caller has the time elsewhere. A call is begun once it was sent to a runner.
 */
export class StopAdmission {
  private readonly waiting = new Set<WaitingCall>();
  private refused = 0;

  constructor(private readonly options: Options) {}

  /** Number of calls that were refused. */
  get refusedCount(): number {
    return this.refused;
  }

  /** Whether a call ends before the host stops, if it is begun now. */
  canEnd(call: CallHead): boolean {
    const {leftMs} = this.options.schedule;
    return leftMs === Infinity || this.estimateNeedMs(call) <= leftMs;
  }

  /** Decides about a call that may be begun now, and logs if it is refused. @returns why it is; undefined if it is begun */
  findRejection(call: CallHead, phase: StopPhase): CallRejection | undefined {
    if (this.canEnd(call)) return undefined;
    this.recordRefused(call, phase);
    const retryAfterMs = Math.round(
      this.options.random.next() * MAX_RETRY_AFTER_MS,
    );
    return {reason: REASON, retryAfterMs};
  }

  /**
   * Watches a call that waits to be begun.
   *
   * @param onRefused called once, at a review that finds that the call would no longer end
   * @returns a function that ends the watch
   */
  watch(
    call: CallHead,
    phase: StopPhase,
    onRefused: (rejection: CallRejection) => void,
  ): () => void {
    const waiting = {call, phase, onRefused};
    this.waiting.add(waiting);
    return () => void this.waiting.delete(waiting);
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

  /** Time that a call may need, in ms: to the end of its response, or of its time limit if that is earlier. */
  private estimateNeedMs(call: CallHead): number {
    const limitMs = call.deadlineAt - this.options.clock.now();
    const expectedMs = this.estimateDurationMs(call);
    return Math.min(limitMs, expectedMs ?? limitMs * this.unknownNeedShare);
  }

  /** Part of its time limit that a call of a route of which none has ended is taken to need. */
  private get unknownNeedShare(): number {
    const {clock, schedule} = this.options;
    const isEarly = clock.now() - schedule.startAt <= UNKNOWN_BEGUN_MS;
    return isEarly ? UNKNOWN_NEED_SHARE : 1;
  }

  private estimateDurationMs({route, prompt}: CallHead): number | undefined {
    const outputTokens = prompt?.lengthHint ?? prompt?.maxOutputTokens;
    const {durations} = this.options;
    return durations.estimateMs({route: route.name, outputTokens});
  }

  private recordRefused(call: CallHead, phase: StopPhase): void {
    const {clock, log, metrics, schedule} = this.options;
    const {id: request, route, acceptedAt} = call;
    const needMs = this.estimateDurationMs(call);
    this.refused += 1;
    metrics.stopRefusals.inc({route: route.name, phase});
    log.write('stop_refused', {
      request,
      route: route.name,
      phase,
      needMs: needMs && Math.round(needMs),
      leftMs: Math.round(schedule.leftMs),
      stoppingMs: Math.round(clock.now() - schedule.startAt),
      ageMs: Math.round(clock.now() - acceptedAt),
    });
  }
}
