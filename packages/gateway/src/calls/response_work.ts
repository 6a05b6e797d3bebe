import type {Clock} from '@bayspool/kernel';
import type {WorkShare} from './work_share.js';

interface Options {
  readonly clock: Clock;
  readonly share: WorkShare;
  /** Called when the response has to wait for the first time, with the units that it has taken. */
  readonly onPaced: (units: number) => void;
}

/** Units that a response may take per ms and at once: hundreds of events a second, and as many at once after a pause. */
const UNITS_PER_MS = 1.5;
const MAX_UNITS = 1_500;
/** Units that a response takes in advance when it goes on, so that it doesn't wait after each small part. */
const ADVANCE_UNITS = 300;

/**
 * What one response makes this host do. A unit is a line of a stream, which costs time however few
 * bytes it has. A response has an allowance that no sound one exceeds for long; beyond it, it takes from the share
 * of all responses, or waits for it.
 */
export class ResponseWork {
  private allowance = MAX_UNITS;
  private refilledAt: number;
  private taken = 0;
  private hasWaited = false;
  private endWait: (() => void) | undefined;

  constructor(private readonly options: Options) {
    this.refilledAt = options.clock.now();
  }

  /** Takes units for what has been done. @returns whether the response may go on; if not, it has to wait */
  take(units: number): boolean {
    if (units === 0) return true;
    this.taken += units;
    this.allowance -= units;
    if (this.allowance >= 0) return true;
    this.refill();
    if (this.allowance >= 0) return true;
    if (!this.options.share.take(-this.allowance)) return false;
    this.allowance = 0;
    return true;
  }

  /** Calls the action when the response may go on. */
  wait(resume: () => void): void {
    if (!this.hasWaited) this.options.onPaced(this.taken);
    this.hasWaited = true;
    const units = ADVANCE_UNITS - this.allowance;
    this.endWait = this.options.share.takeLater(units, () => {
      this.endWait = undefined;
      this.allowance += units;
      resume();
    });
  }

  /** Ends the wait, if there is one, as the response has ended. */
  stop(): void {
    this.endWait?.();
    this.endWait = undefined;
  }

  private refill(): void {
    const now = this.options.clock.now();
    const added = (now - this.refilledAt) * UNITS_PER_MS;
    this.refilledAt = now;
    this.allowance = Math.min(MAX_UNITS, this.allowance + added);
  }
}
