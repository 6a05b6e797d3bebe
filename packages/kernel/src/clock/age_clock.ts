import type {Clock} from './clock.js';
import type {Timer} from './timer.js';

interface Options {
  /** Does not count time in which the machine was suspended. */
  readonly clock: Clock;
  /** The time of day, in ms; it counts that time, and may be set. */
  readonly timeOfDay?: () => number;
  /** Told of each gap that is counted, in ms. */
  readonly onGap?: (forMs: number) => void;
}

/**
 * Least jump of the time of day that counts as a gap, in ms: over what slewing moves it between two looks, and under the
 * margins of the ages that decide something.
 */
const MIN_GAP_MS = 100;

/**
 * Time for ages that must never be too young: it also counts time in which the machine was suspended, which the steady
 * clock leaves out. Node tells the time since boot only as a file of the system, so a gap is seen as a jump ahead of
 * the time of day. A time of day that is set ahead looks alike and makes ages too old by as much, until the next news; one
 * that is set back changes nothing. For ages that must never be too old the steady clock is the right one.
 */
export class AgeClock implements Clock {
  private readonly timeOfDay: () => number;
  private gapsMs = 0;
  private lead: number;

  constructor(private readonly options: Options) {
    this.timeOfDay = options.timeOfDay ?? Date.now;
    this.lead = this.timeOfDay() - options.clock.now();
  }

  now(): number {
    const steady = this.options.clock.now();
    this.look(this.timeOfDay() - steady);
    return steady + this.gapsMs;
  }

  wall(): number {
    return this.options.clock.wall();
  }

  after(delayMs: number, action: () => void): Timer {
    return this.options.clock.after(delayMs, action);
  }

  private look(lead: number): void {
    const jumpMs = lead - this.lead;
    this.lead = lead;
    if (jumpMs < MIN_GAP_MS) return;
    this.gapsMs += jumpMs;
    this.options.onGap?.(jumpMs);
  }
}
