import type {Clock} from '@bayspool/kernel';

interface Options {
  readonly clock: Clock;
}

/** Readers that wait for news of one list. */
export class LongPolls {
  private readonly waiters = new Set<() => void>();

  constructor(private readonly options: Options) {}

  /** Ends when there is news, after `waitMs`, or when the signal is aborted. */
  wait(waitMs: number, signal?: AbortSignal): Promise<void> {
    return new Promise(resolve => {
      const finish = () => {
        timer.cancel();
        this.waiters.delete(finish);
        signal?.removeEventListener('abort', finish);
        resolve();
      };
      const timer = this.options.clock.after(waitMs, finish);
      this.waiters.add(finish);
      signal?.addEventListener('abort', finish, {once: true});
    });
  }

  /** Ends all waits. */
  wake(): void {
    for (const finish of [...this.waiters]) finish();
  }
}
