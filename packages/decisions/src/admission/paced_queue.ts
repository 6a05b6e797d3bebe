import type {Clock, Timer} from '@bayspool/kernel';
import {AdmissionQueue} from '../limits/admission_queue.js';
import {compareQueueTags} from '../limits/compare_queue_tags.js';
import {TokenBucket} from '../limits/token_bucket.js';
import {UrgencyQueueing} from '../limits/urgency_queueing.js';
import type {UrgencyRequest} from '../limits/urgency_request.js';
import type {AdmissionPlan} from './admission_plan.js';
import type {AdmissionRequest} from './admission_request.js';
import {createSizeClass} from './create_size_class.js';
import {GuaranteedShare} from './guaranteed_share.js';

interface Options {
  readonly clock: Clock;
  /** Whether capacity is not short, so that all that waits is sent. */
  readonly isOpen: () => boolean;
}

type Call = AdmissionRequest & {readonly workspace: string};

/** Saved work, as the time in which the rate earns it, in ms: evens out a gap between arrivals. */
const BURST_MS = 200;
/** Saved work as a multiple of the largest call: a host whose rate is less than a slot saves for it. */
const BURST_CALLS = 1.5;
/** How far calls that don't wait may overdraw the rate, as the time in which it is earned, in ms. */
const MAX_DEBT_MS = 1_000;
/** Calls of one priority that may wait: far more than can be served within any latency target. */
const MAX_WAITING = 1_000;
/** Longest time between two looks at the queue, in ms: rate and shortage may have changed. */
const MAX_TIMER_MS = 50;
/** Part of the rate that is left for any call in the estimate of its wait. */
const MIN_RATE_SHARE = 0.05;
/** Part of the time until its latest start that a call may be expected to wait: estimates are wrong by about as much. */
const USED_SLACK = 0.5;
/** The same for calls that are late anyway, before which all others go. */
const USED_LATE_SLACK = 0.4;
/** Slack under which a call counts as late, over its work: a queue that keeps the runners busy takes as much. */
const MIN_SLACK_SHARE = 0.1;
/** By how much the largest work is forgotten with each plan. */
const LARGEST_DECAY = 0.995;
const MS_PER_SECOND = 1_000;

/** The calls that wait at a host while capacity is short; they are sent at the host's part of the capacity. */
export class PacedQueue {
  private readonly discipline = new UrgencyQueueing();
  private readonly queue: AdmissionQueue<UrgencyRequest, true>;
  private readonly bucket: TokenBucket;
  private readonly guaranteed: GuaranteedShare;
  private plan!: AdmissionPlan;
  private largestMs = 0;
  private timer: Timer | undefined;

  constructor(private readonly options: Options) {
    const {clock} = options;
    this.queue = new AdmissionQueue({
      clock,
      discipline: this.discipline,
      maxPerClass: MAX_WAITING,
    });
    this.bucket = new TokenBucket({clock, perSecond: 0, burst: 0});
    this.guaranteed = new GuaranteedShare({clock});
  }

  get length(): number {
    return this.queue.length;
  }

  /** Paces by another plan. */
  resize(plan: AdmissionPlan, classes: ReadonlyMap<string, number>): void {
    this.plan = plan;
    this.largestMs *= LARGEST_DECAY;
    const burst = Math.max(
      plan.ratePerMs * BURST_MS,
      this.largestMs * BURST_CALLS,
    );
    this.bucket.resize(plan.ratePerMs * MS_PER_SECOND, burst);
    this.guaranteed.resize(plan.ratePerMs, classes);
  }

  /** Counts a call that is sent without waiting. @returns false if such calls have used up the rate for some time */
  spendFirst({workMs}: Call): boolean {
    const maxDebt = this.plan.ratePerMs * MAX_DEBT_MS;
    if (this.bucket.saved <= -maxDebt) return false;
    this.bucket.spend(workMs, Math.max(maxDebt, workMs));
    return true;
  }

  createItem(call: Call): UrgencyRequest {
    const {plan} = this;
    const {priority, workspace, workMs, targetAt, deadlineAt} = call;
    const slackMs = targetAt - this.options.clock.now() - workMs;
    const isLate = slackMs < workMs * MIN_SLACK_SHARE;
    const endAt = isLate ? deadlineAt : targetAt;
    const latestStartAt = endAt - workMs - plan.queueMs;
    return {
      priority,
      workspace,
      isLate,
      latestStartAt,
      deadlineAt: latestStartAt,
      isOverShare: plan.isOverShare(call),
      weight: plan.rateOf(call),
      cost: workMs,
    };
  }

  /** Whether a call that is expected to wait for this long, in ms, will probably start in time. */
  canStartInTime(
    {latestStartAt, isLate}: UrgencyRequest,
    waitMs: number,
  ): boolean {
    const used = isLate ? USED_LATE_SLACK : USED_SLACK;
    return waitMs <= (latestStartAt - this.options.clock.now()) * used;
  }

  /** Expected wait of a call that arrives now, in ms. */
  estimateWaitMs(item: UrgencyRequest): number {
    return Math.min(
      this.estimateOrderedMs(item),
      this.estimateGuaranteedMs(item),
    );
  }

  /** Waits until a call may be sent. @returns false if its time has passed, or the signal was aborted */
  async enqueue(item: UrgencyRequest, signal: AbortSignal): Promise<boolean> {
    this.largestMs = Math.max(this.largestMs, item.cost);
    const granted = this.queue.enqueue(item, signal).catch(() => false);
    this.dispatch();
    return granted;
  }

  /** Sends what may be sent now. */
  dispatch(): void {
    this.timer?.cancel();
    this.timer = undefined;
    if (this.queue.length === 0) return;
    if (this.options.isOpen()) return this.queue.admit(() => true);
    while (this.sendNext());
    if (this.queue.length > 0) this.schedule();
  }

  /** @returns whether a call was sent */
  private sendNext(): boolean {
    const first = this.queue.find(() => true);
    if (!first) return false;
    if (this.bucket.take(first.cost) === 0) {
      this.queue.grant(first, true);
      return true;
    }
    const guaranteed = this.queue.find(item => this.isGuaranteed(item));
    if (!guaranteed) return false;
    const {cost} = guaranteed;
    this.guaranteed.spend(classOf(guaranteed), cost);
    this.bucket.spend(cost, Math.max(cost, this.plan.ratePerMs * MAX_DEBT_MS));
    this.queue.grant(guaranteed, true);
    return true;
  }

  private isGuaranteed(item: UrgencyRequest): boolean {
    return this.guaranteed.computeWaitMs(classOf(item), item.cost) === 0;
  }

  private schedule(): void {
    const first = this.queue.find(() => true)!;
    const waitMs = this.bucket.computeWaitMs(first.cost);
    const delayMs = Math.max(1, Math.min(waitMs, MAX_TIMER_MS));
    this.timer = this.options.clock.after(delayMs, () => this.dispatch());
  }

  /** Wait for the work that goes before a call, and for that which is expected to arrive meanwhile. */
  private estimateOrderedMs(item: UrgencyRequest): number {
    const {plan, bucket} = this;
    const tag = this.discipline.previewTag(item);
    const aheadMs = this.queue.sumCost(
      (_, other) => compareQueueTags(other, tag) <= 0,
    );
    const before = plan.ownDemandBefore(item, item.cost);
    const missingMs = aheadMs + item.cost - bucket.saved;
    // The pace corrects queues within some 100 ms, so the wait is estimated by the rate without it.
    const rate = Math.max(
      plan.unpacedRatePerMs - before,
      plan.unpacedRatePerMs * MIN_RATE_SHARE,
    );
    const ordered = missingMs <= 0 ? 0 : missingMs / rate;
    if (!item.isOverShare) return ordered;
    const flowMs = this.queue.sumCost(
      ({priority, workspace}) =>
        priority === item.priority && workspace === item.workspace,
    );
    return flowMs === 0 ? ordered : Math.max(ordered, flowMs / item.weight);
  }

  /** Wait for the part of the rate that the call's class gets in any case. */
  private estimateGuaranteedMs(item: UrgencyRequest): number {
    const name = classOf(item);
    const aheadMs = this.queue.sumCost(other => classOf(other) === name);
    return this.guaranteed.computeTotalWaitMs(name, item.cost, aheadMs);
  }
}

function classOf({priority, cost}: UrgencyRequest): string {
  return createSizeClass(priority, cost);
}
