import type {Clock} from '@bayspool/kernel';
import type {ServiceCapacity} from '../capacity/service_capacity.js';
import type {AdmissionDecision} from './admission_decision.js';
import {AdmissionPlan} from './admission_plan.js';
import {AdmissionReason} from './admission_reason.js';
import type {AdmissionRequest} from './admission_request.js';
import type {DemandDigest} from './demand_digest.js';
import {DemandReport} from './demand_report.js';
import {PacedQueue} from './paced_queue.js';
import {ShortageDetector} from './shortage_detector.js';

interface Options {
  readonly clock: Clock;
  /** What the service's usable runners can take now. */
  readonly capacity: () => ServiceCapacity;
  /** Number of hosts, this one included. */
  readonly hosts: () => number;
  /** Whether calls wait here; false if the runners order their own queues by priority. */
  readonly isPaced?: () => boolean;
  /** Called when capacity becomes short, and when it no longer is. */
  readonly onChange?: (isShort: boolean) => void;
}

/** A call as it is ranked here. */
type RankedCall = AdmissionRequest & {readonly workspace: string};

/** How long a plan is used, in ms: a fraction of the time in which demand and load change. */
const PLAN_TTL_MS = 50;
/** Priority of calls that only replace a usable response: after those of all routes. */
const IMPROVEMENT_PRIORITY = 1_000;
/** Part of the time to its target that counts as a call's slack at least, so that long work alone is no shortage. */
const MIN_SLACK_SHARE = 0.25;
/** Load up to which calls are sent while the queues at the runners are short, although a shortage has not ended yet. */
const FREE_LOAD = 0.95;
/** By how many standard deviations demand may exceed it by chance. */
const FREE_DEVIATIONS = 2;
/** Part of a call's slack that these queues may use. */
const FREE_SLACK_SHARE = 0.5;
const NO_CAPACITY: ServiceCapacity = {
  slots: 0,
  running: 0,
  backlogMs: 0,
  workPerMs: 0,
  ageMs: Infinity,
};

/**
 * Decides for each call of a service whether it is sent now, waits at this host or is rejected. It responds to demand
 * above the capacity and to queues at the runners; while there is neither, all calls are sent at once.
 */
export class OverloadControl {
  private readonly demand: DemandReport;
  private readonly detector: ShortageDetector;
  private readonly queue: PacedQueue;
  private plan: AdmissionPlan;
  private plannedAt = -Infinity;
  private capacity = NO_CAPACITY;

  constructor(private readonly options: Options) {
    const {clock} = options;
    this.demand = new DemandReport({clock});
    this.detector = new ShortageDetector({clock});
    this.plan = this.createPlan();
    this.queue = new PacedQueue({
      clock,
      isOpen: () => {
        this.update();
        return !this.detector.isShort;
      },
    });
  }

  /** Whether capacity is short, by the last decision. */
  get isShort(): boolean {
    return this.detector.isShort;
  }

  /** Number of calls that wait here. */
  get waiting(): number {
    return this.queue.length;
  }

  /** Demand of all hosts over the capacity, by the last decision. */
  get load(): number {
    return this.plan.load;
  }

  /** Decides about a call; resolves once it may be sent, or is rejected. An aborted signal ends its wait. */
  async request(
    request: AdmissionRequest,
    signal: AbortSignal,
  ): Promise<AdmissionDecision> {
    if (request.isContinuation)
      return this.decide(true, AdmissionReason.CONTINUATION);
    const call = rankCall(request);
    this.demand.recordArrival(call);
    const slackMs = this.computeSlackMs(call);
    this.update(slackMs);
    if (!this.detector.isShort) return this.decide(true, AdmissionReason.FREE);
    const {plan} = this;
    if (!this.isPaced) return this.decideUnpaced(call);
    if (this.hasFreePart(slackMs) && this.queue.spendFirst(call))
      return this.decide(true, AdmissionReason.FREE);
    if (plan.isSentFirst(call, call.workMs) && this.queue.spendFirst(call))
      return this.decide(true, AdmissionReason.FIRST);
    return this.wait(call, signal);
  }

  /** Records that a call was sent to a runner. */
  recordSent(workMs: number): void {
    this.demand.recordSent(workMs);
  }

  /** Records that an attempt has ended, and lets waiting calls be sent. */
  recordEnded(workMs: number): void {
    this.demand.recordEnded(workMs);
    this.queue.dispatch();
  }

  /** What the other hosts have to know. */
  createDigest(): DemandDigest {
    this.update();
    return this.demand.createDigest(this.detector.isShort);
  }

  /** Applies the sum of what the other hosts ask for. */
  applyPeerDigest(sum: DemandDigest): void {
    this.demand.applyPeerDigest(sum);
  }

  /** Requests at runners that order their queues themselves run in other units than the capacity. */
  private get isPaced(): boolean {
    return this.options.isPaced?.() !== false;
  }

  /** Rejects a call whose deadline can't be met by runners that order their queues themselves. */
  private decideUnpaced(call: RankedCall): AdmissionDecision {
    const {slots, running} = this.capacity;
    const expectedMs = this.plan.estimateOrderedMs(call, call.workMs);
    const leftMs = call.deadlineAt - this.options.clock.now();
    if (running < slots || expectedMs + call.workMs <= leftMs)
      return this.decide(true, AdmissionReason.ORDERED, 0, expectedMs);
    this.demand.recordRejected();
    return this.decide(false, AdmissionReason.TOO_LATE, 0, expectedMs);
  }

  private async wait(
    call: RankedCall,
    signal: AbortSignal,
  ): Promise<AdmissionDecision> {
    const {clock} = this.options;
    const arrivedAt = clock.now();
    const item = this.queue.createItem(call);
    const expectedMs = this.queue.estimateWaitMs(item);
    if (!this.queue.canStartInTime(item, expectedMs)) {
      this.demand.recordRejected();
      const reason = item.isLate
        ? AdmissionReason.TOO_LATE
        : AdmissionReason.SHORT;
      return this.decide(false, reason, 0, expectedMs);
    }
    const isGranted = await this.queue.enqueue(item, signal);
    const waitedMs = clock.now() - arrivedAt;
    if (isGranted)
      return this.decide(true, AdmissionReason.WAITED, waitedMs, expectedMs);
    if (signal.aborted)
      return this.decide(false, AdmissionReason.LEFT, waitedMs, expectedMs);
    this.demand.recordRejected();
    return this.decide(false, AdmissionReason.SHORT, waitedMs, expectedMs);
  }

  /**
   * Whether a call may be sent although a shortage has not ended: demand is below the capacity and queues are short, or
   * slots are free and this host uses less than its part of them. More of them are not used at once, because other hosts
   * see the same free slots.
   */
  private hasFreePart(slackMs: number): boolean {
    const {slots, running} = this.capacity;
    const {measuredLoad, loadDeviation, hostShare} = this.plan;
    const evenShare = 1 / Math.max(1, this.options.hosts());
    const part = Math.max(evenShare, hostShare) * slots;
    const own = this.demand.running;
    if (measuredLoad < FREE_LOAD + loadDeviation * FREE_DEVIATIONS) {
      const {reportedQueueMs} = this.plan;
      const hasShortQueues = reportedQueueMs < slackMs * FREE_SLACK_SHARE;
      if (running < slots || hasShortQueues || own < part) return true;
    }
    return running < slots && (own === 0 || own + 1 <= part);
  }

  /** Brings plan and shortage state up to date. */
  private update(slackMs = Infinity): void {
    const {clock, onChange} = this.options;
    if (clock.now() - this.plannedAt >= PLAN_TTL_MS) {
      this.plannedAt = clock.now();
      this.capacity = this.options.capacity();
      this.plan = this.createPlan();
      this.queue.resize(this.plan, this.demand.bySize());
    }
    const {slots, running, ageMs} = this.capacity;
    const {load, loadDeviation, queueMs} = this.plan;
    const isFull = slots > 0 && running >= slots;
    const hasChanged = this.detector.update({
      load,
      loadDeviation,
      queueMs,
      slackMs,
      isFull,
      ageMs,
    });
    if (!hasChanged) return;
    onChange?.(this.detector.isShort);
    this.queue.dispatch();
  }

  private createPlan(): AdmissionPlan {
    return new AdmissionPlan({
      capacity: this.capacity,
      own: this.demand.readOwn(),
      peers: this.demand.peers,
      hosts: this.options.hosts(),
      ownRunning: this.isPaced ? this.demand.running : 0,
    });
  }

  private computeSlackMs({targetAt, workMs}: AdmissionRequest): number {
    const untilTarget = targetAt - this.options.clock.now();
    return Math.max(untilTarget - workMs, untilTarget * MIN_SLACK_SHARE, 0);
  }

  private decide(
    isSent: boolean,
    reason: string,
    waitedMs = 0,
    expectedWaitMs = 0,
  ): AdmissionDecision {
    const {plan, detector, demand, capacity} = this;
    return {
      isSent,
      reason,
      waitedMs,
      expectedWaitMs,
      hostShare: detector.isShort ? plan.hostShare : 1,
      capacityPerMs: capacity.workPerMs,
      sparePerMs: capacity.workPerMs - plan.demandPerMs,
      peersAgeMs: demand.peersAgeMs,
    };
  }
}

/** Longest work that a call is taken to need, in ms: it is estimated from what the caller states. */
const MAX_WORK_MS = 60_000;

function rankCall(call: AdmissionRequest): RankedCall {
  const {workspace = '', isImprovement, priority} = call;
  const workMs = Math.min(MAX_WORK_MS, Math.max(0, call.workMs || 0));
  return {
    ...call,
    workMs,
    workspace,
    priority: isImprovement ? IMPROVEMENT_PRIORITY : priority,
  };
}
