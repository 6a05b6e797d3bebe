import type {Clock, Timer} from '@bayspool/kernel';

interface Options {
  readonly clock: Clock;
}

/** Interval between two measurements, in ms. */
const MEASURE_INTERVAL_MS = 1_000;
const MS_PER_SECOND = 1_000;

/** Measures how late timers fire because the event loop is busy or the process stalled. */
export class EventLoopLag {
  private maxLagMs = 0;
  private timer: Timer | undefined;

  constructor(private readonly options: Options) {}

  /** Starts measuring. */
  start(): void {
    const {clock} = this.options;
    const dueAt = clock.now() + MEASURE_INTERVAL_MS;
    this.timer = clock.after(MEASURE_INTERVAL_MS, () => {
      this.maxLagMs = Math.max(this.maxLagMs, clock.now() - dueAt);
      this.start();
    });
  }

  /** Stops measuring. */
  stop(): void {
    this.timer?.cancel();
  }

  /** Returns the maximum lag since the last call, in seconds, and resets it. */
  takeMaxSeconds(): number {
    const seconds = this.maxLagMs / MS_PER_SECOND;
    this.maxLagMs = 0;
    return seconds;
  }
}
