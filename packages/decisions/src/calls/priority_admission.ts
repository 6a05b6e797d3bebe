import type {Clock} from '@bayspool/kernel';
import {SlidingWindowCounter} from './sliding_window_counter.js';

interface Options {
  readonly clock: Clock;
  readonly windowMs: number;
}

/** Counters of the calls of one priority within the window. */
interface PriorityCounters {
  readonly requested: SlidingWindowCounter;
  readonly sent: SlidingWindowCounter;
}

/** Share of the capacity that calls of any priority may use, so that none is starved. */
const MIN_CAPACITY_SHARE = 0.2;
const MS_PER_SECOND = 1_000;

/**
 * Admits calls by priority when demand exceeds the capacity of the runners: capacity is reserved
 * for more urgent calls, and the others get the remainder.
 */
export class PriorityAdmission {
  private readonly counters = new Map<number, PriorityCounters>();

  constructor(private readonly options: Options) {}

  /** Records a call received from a caller; 0 is the most urgent priority. */
  recordRequested(priority: number): void {
    this.countersOf(priority).requested.increment();
  }

  /** Records a call sent to a runner. */
  recordSent(priority: number): void {
    this.countersOf(priority).sent.increment();
  }

  /**
   * Whether a call may use capacity now.
   *
   * @param perSecond calls that this host may send to all runners of the service together; Infinity
   * if unlimited
   */
  canAdmit(priority: number, perSecond: number): boolean {
    if (perSecond === Infinity) return true;
    let moreUrgent = 0;
    let sent = 0;
    for (const [other, counters] of this.counters) {
      if (other < priority) moreUrgent += counters.requested.total;
      else sent += counters.sent.total;
    }
    if (moreUrgent === 0) return true;
    const capacity = (perSecond * this.options.windowMs) / MS_PER_SECOND;
    return (
      sent < Math.max(capacity * MIN_CAPACITY_SHARE, capacity - moreUrgent)
    );
  }

  private countersOf(priority: number): PriorityCounters {
    const existing = this.counters.get(priority);
    if (existing) return existing;
    const counters = {
      requested: new SlidingWindowCounter(this.options),
      sent: new SlidingWindowCounter(this.options),
    };
    this.counters.set(priority, counters);
    return counters;
  }
}
