import type {Clock} from '@bayspool/kernel';
import {SlidingCount} from './sliding_count.js';

interface Options {
  readonly clock: Clock;
  readonly windowMs: number;
}

/** Calls of one priority within the window. */
interface PriorityCounts {
  readonly wanted: SlidingCount;
  readonly sent: SlidingCount;
}

/** Part of the room that calls of any priority may use, so that none is refused altogether. */
const LEAST_PART = 0.2;
const MS_PER_SECOND = 1_000;

/** Where runners take fewer calls than are wanted, keeps room for urgent ones: the others get what these leave. */
export class UrgentFirst {
  private readonly counts = new Map<number, PriorityCounts>();

  constructor(private readonly options: Options) {}

  /** Notes a call that came from a caller; 0 is the most urgent priority. */
  noteWanted(priority: number): void {
    this.countsOf(priority).wanted.add();
  }

  /** Notes a call that is sent to a runner. */
  noteSent(priority: number): void {
    this.countsOf(priority).sent.add();
  }

  /**
   * Whether a call may use room now.
   *
   * @param perSecond calls that this host may send to all runners of the service together; Infinity if nothing bounds them
   */
  mayUse(priority: number, perSecond: number): boolean {
    if (perSecond === Infinity) return true;
    let moreUrgent = 0;
    let sent = 0;
    for (const [other, counts] of this.counts) {
      if (other < priority) moreUrgent += counts.wanted.total;
      else sent += counts.sent.total;
    }
    if (moreUrgent === 0) return true;
    const room = (perSecond * this.options.windowMs) / MS_PER_SECOND;
    return sent < Math.max(room * LEAST_PART, room - moreUrgent);
  }

  private countsOf(priority: number): PriorityCounts {
    const known = this.counts.get(priority);
    if (known) return known;
    const counts = {
      wanted: new SlidingCount(this.options),
      sent: new SlidingCount(this.options),
    };
    this.counts.set(priority, counts);
    return counts;
  }
}
