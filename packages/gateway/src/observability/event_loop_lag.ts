import type {Clock, Timer} from '@bayspool/kernel';

interface Options {
  readonly clock: Clock;
}

/** Pause between two measurements, in ms. */
const MEASURE_INTERVAL_MS = 1_000;
const MS_PER_SECOND = 1_000;

/** How late timers fire because the loop is busy, or the process stood still. */
export class EventLoopLag {
  private maxLagMs = 0;
  private timer: Timer | undefined;

  constructor(private readonly options: Options) {}

  /** Measures from now on. */
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

  /** The worst lag since it was last asked for, in seconds. */
  takeMaxSeconds(): number {
    const seconds = this.maxLagMs / MS_PER_SECOND;
    this.maxLagMs = 0;
    return seconds;
  }
}
