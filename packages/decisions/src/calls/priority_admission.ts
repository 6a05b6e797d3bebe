import type {Clock} from '@bayspool/kernel';
import {SlidingWindowCounter} from './sliding_window_counter.js';

interface Options {
  readonly clock: Clock;
  readonly windowMs: number;
}

/** Calls of one priority within the window. */
interface PriorityCounters {
  readonly requested: SlidingWindowCounter;
  readonly sent: SlidingWindowCounter;
}

/** Part of the room that calls of any priority may use, so that none is refused altogether. */
const MIN_CAPACITY_SHARE = 0.2;
const MS_PER_SECOND = 1_000;

/** Where runners take fewer calls than are wanted, keeps room for urgent ones: the others get what these leave. */
export class PriorityAdmission {
  private readonly counters = new Map<number, PriorityCounters>();

  constructor(private readonly options: Options) {}

  /** Notes a call that came from a caller; 0 is the most urgent priority. */
  recordRequested(priority: number): void {
    this.countersOf(priority).requested.increment();
  }

  /** Notes a call that is sent to a runner. */
  recordSent(priority: number): void {
    this.countersOf(priority).sent.increment();
  }

  /**
   * Whether a call may use room now.
   *
   * @param perSecond calls that this host may send to all runners of the service together; Infinity if nothing bounds them
   */
  canAdmit(priority: number, perSecond: number): boolean {
    if (perSecond === Infinity) return true;
    let moreUrgent = 0;
    let sent = 0;
    for (const [other, counts] of this.counters) {
      if (other < priority) moreUrgent += counts.requested.total;
      else sent += counts.sent.total;
    }
    if (moreUrgent === 0) return true;
    const room = (perSecond * this.options.windowMs) / MS_PER_SECOND;
    return sent < Math.max(room * MIN_CAPACITY_SHARE, room - moreUrgent);
  }

  private countersOf(priority: number): PriorityCounters {
    const known = this.counters.get(priority);
    if (known) return known;
    const counts = {
      requested: new SlidingWindowCounter(this.options),
      sent: new SlidingWindowCounter(this.options),
    };
    this.counters.set(priority, counts);
    return counts;
  }
}
