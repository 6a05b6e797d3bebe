import type {Clock, Timer} from '@bayspool/kernel';

interface Options {
  readonly clock: Clock;
}

/** Pause between two measurements, in ms. */
const PAUSE_MS = 1_000;
const MS_PER_SECOND = 1_000;

/** How late timers fire because the loop is busy, or the process stood still. */
export class LoopLag {
  private worstMs = 0;
  private timer: Timer | undefined;

  constructor(private readonly options: Options) {}

  /** Measures from now on. */
  start(): void {
    const {clock} = this.options;
    const dueAt = clock.now() + PAUSE_MS;
    this.timer = clock.after(PAUSE_MS, () => {
      this.worstMs = Math.max(this.worstMs, clock.now() - dueAt);
      this.start();
    });
  }

  /** Stops measuring. */
  stop(): void {
    this.timer?.cancel();
  }

  /** The worst lag since it was last asked for, in seconds. */
  takeWorstSeconds(): number {
    const seconds = this.worstMs / MS_PER_SECOND;
    this.worstMs = 0;
    return seconds;
  }
}
