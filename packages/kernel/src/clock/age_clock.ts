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
/** Longest time between the reads of the two clocks for which they count as one moment, in ms. */
const MAX_READ_MS = 10;
/** Reads after which the last one is taken: ages may be too old then. */
const MAX_READS = 3;

/** The steady clock, and how far the time of day was ahead of it then, in ms. */
interface Reading {
  readonly steady: number;
  readonly lead: number;
}

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
    this.lead = this.read().lead;
  }

  now(): number {
    const {steady, lead} = this.read();
    this.look(lead);
    return steady + this.gapsMs;
  }

  wall(): number {
    return this.options.clock.wall();
  }

  after(delayMs: number, action: () => void): Timer {
    return this.options.clock.after(delayMs, action);
  }

  /** Reads both clocks again if the process was held up in between, as that would look like a gap. */
  private read(): Reading {
    const {clock} = this.options;
    let steady = clock.now();
    for (let reads = 1; ; reads++) {
      const timeOfDay = this.timeOfDay();
      const lead = timeOfDay - steady;
      const after = clock.now();
      if (after - steady <= MAX_READ_MS || reads === MAX_READS)
        return {steady, lead};
      steady = after;
    }
  }

  private look(lead: number): void {
    const jumpMs = lead - this.lead;
    this.lead = lead;
    if (jumpMs < MIN_GAP_MS) return;
    this.gapsMs += jumpMs;
    this.options.onGap?.(jumpMs);
  }
}
