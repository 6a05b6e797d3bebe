import type {Clock, Timer} from '@bayspool/kernel';

interface Options {
  readonly clock: Clock;
  /** What waits here goes on when this holds. */
  readonly isOpen: () => boolean;
}

/**
 * Pause between two looks, in ms: how soon a host begins to read the store once it has to. One look serves all
 * that wait, since each wakes an idle process: 5 a second where each follower looked for itself, 17 in all.
 */
const POLL_INTERVAL_MS = 200;

/** Holds back what only a host that reads the store does. */
export class ReadGate {
  private readonly waiters: Array<() => void> = [];
  private timer: Timer | undefined;

  constructor(private readonly options: Options) {}

  /** Resolves once the gate is open, or is stopped. */
  wait(): Promise<void> {
    return new Promise(resolve => {
      this.waiters.push(resolve);
      this.timer ??= this.schedulePoll();
    });
  }

  /** Lets all go on, so that they can end. */
  stop(): void {
    this.timer?.cancel();
    this.releaseAll();
  }

  private schedulePoll(): Timer {
    return this.options.clock.after(POLL_INTERVAL_MS, () => {
      this.timer = undefined;
      if (this.options.isOpen()) this.releaseAll();
      else this.timer = this.schedulePoll();
    });
  }

  private releaseAll(): void {
    for (const resolve of this.waiters.splice(0)) resolve();
  }
}
