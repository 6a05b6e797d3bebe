import type {Clock, Timer} from '@bayspool/kernel';

interface Options {
  readonly clock: Clock;
}

/** A response that waits until the host may handle more of it. */
interface Waiter {
  /** Units that the response will take. */
  readonly units: number;
  readonly resume: () => void;
}

/** Ends the wait of a response that has ended; it takes nothing then. */
type WaitEnd = () => void;

/** Units that all responses together may take beyond their own allowances, per ms: some 5% of the time of a core. */
const UNITS_PER_MS = 10;
/** Units that may be taken at once after a pause. */
const MAX_UNITS = 2_000;
/** Time between two looks at the responses that wait, in ms. */
const INTERVAL_MS = 10;

/**
 * What the responses of a host may together make it do beyond their own allowances; see {@link ResponseWork} for the
 * unit. Responses that wait for it go on in turn.
 */
export class WorkShare {
  private units = MAX_UNITS;
  private refilledAt: number;
  /** In the order in which they go on. */
  private readonly waiting = new Set<Waiter>();
  private timer: Timer | undefined;

  constructor(private readonly options: Options) {
    this.refilledAt = options.clock.now();
  }

  /** Takes units if some are left and no response waits. @returns whether they were taken */
  take(units: number): boolean {
    this.refill();
    if (this.waiting.size > 0 || this.units <= 0) return false;
    this.units -= units;
    return true;
  }

  /** Calls the action when the units have been taken, after those of the responses that wait already. */
  takeLater(units: number, resume: () => void): WaitEnd {
    const waiter = {units, resume};
    this.waiting.add(waiter);
    this.timer ??= this.startTimer();
    return () => this.waiting.delete(waiter);
  }

  private startTimer(): Timer {
    return this.options.clock.after(INTERVAL_MS, () => {
      this.timer = undefined;
      this.resumeWaiting();
      if (this.waiting.size > 0) this.timer ??= this.startTimer();
    });
  }

  private resumeWaiting(): void {
    this.refill();
    for (const next of [...this.waiting]) {
      if (this.units <= 0) return;
      // A response that went on may have ended others.
      if (!this.waiting.delete(next)) continue;
      this.units -= next.units;
      next.resume();
    }
  }

  private refill(): void {
    const now = this.options.clock.now();
    const added = (now - this.refilledAt) * UNITS_PER_MS;
    this.refilledAt = now;
    this.units = Math.min(MAX_UNITS, this.units + added);
  }
}
