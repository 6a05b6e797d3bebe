import type {Clock} from './clock.js';
import type {Timer} from './timer.js';

/** The clock of the operating system. */
export class SystemClock implements Clock {
  now(): number {
    return performance.now();
  }

  wall(): number {
    return performance.timeOrigin + performance.now();
  }

  after(delayMs: number, action: () => void): Timer {
    const handle = setTimeout(action, delayMs);
    return {cancel: () => clearTimeout(handle)};
  }
}
