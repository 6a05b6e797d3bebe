import type {Clock} from '@bayspool/kernel';
import type {ReservedStretch} from './reserved_stretch.js';

interface Options {
  readonly clock: Clock;
  /** Width of an interval, in ms. */
  readonly widthMs: number;
  /** Number of intervals, from the present one on. */
  readonly count: number;
}

interface Reservation {
  /** Earliest time of the reserved capacity, in ms from now. */
  readonly fromMs: number;
  /** Work to reserve capacity for, in ms of slot time; above 0. */
  readonly workMs: number;
  /** Work that an interval can take, in ms of slot time. */
  readonly capacityMs: number;
  /** Part of that up to which this reservation may fill an interval, 0 to 1. */
  readonly usablePart: number;
}

/** Reserved work in a fixed number of time intervals; what is reserved in an interval expires with it. */
export class ReservedIntervals {
  private readonly work: Float64Array;
  /** Number of the present interval, counted from the start of the clock. */
  private present = 0;

  constructor(private readonly options: Options) {
    this.work = new Float64Array(options.count);
  }

  /** Reserved work in all intervals, in ms of slot time. */
  get totalMs(): number {
    this.expire();
    return this.work.reduce((sum, work) => sum + work, 0);
  }

  /** Reserved work in the present interval, in ms of slot time. */
  get presentMs(): number {
    this.expire();
    return this.work[this.present % this.work.length];
  }

  /**
   * Reserves the earliest capacity that is left, in as many intervals as the work needs.
   *
   * @returns the reserved stretches in their order; none, with nothing reserved, if the intervals have not enough left
   */
  reserve(reservation: Reservation): readonly ReservedStretch[] {
    this.expire();
    const {clock, widthMs, count} = this.options;
    const {fromMs, workMs, capacityMs, usablePart} = reservation;
    const now = clock.now();
    const first = Math.ceil((now + fromMs) / widthMs);
    const end = this.present + count;
    const usableMs = capacityMs * usablePart;
    if (!(this.sumLeft(first, end, usableMs) >= workMs)) return [];
    const toTime = (index: number) =>
      (index + this.work[index % count] / capacityMs) * widthMs - now;
    const stretches: ReservedStretch[] = [];
    let neededMs = workMs;
    for (let index = first; index < end && neededMs > 0; index++) {
      const takenMs = Math.min(this.leftIn(index, usableMs), neededMs);
      if (takenMs === 0) continue;
      neededMs -= takenMs;
      const startMs = toTime(index);
      this.work[index % count] += takenMs;
      stretches.push({fromMs: startMs, toMs: toTime(index), workMs: takenMs});
    }
    return stretches;
  }

  private sumLeft(first: number, end: number, usableMs: number): number {
    let sum = 0;
    for (let index = first; index < end; index++)
      sum += this.leftIn(index, usableMs);
    return sum;
  }

  private leftIn(index: number, usableMs: number): number {
    return Math.max(0, usableMs - this.work[index % this.options.count]);
  }

  private expire(): void {
    const {clock, widthMs, count} = this.options;
    const present = Math.floor(clock.now() / widthMs);
    const passed = Math.min(count, present - this.present);
    for (let i = 0; i < passed; i++) this.work[(this.present + i) % count] = 0;
    this.present = present;
  }
}
