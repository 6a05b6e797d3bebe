import type {Clock} from './clock.js';

/** Resolves after `delayMs`, or as soon as `signal` is aborted. */
export function sleep(
  clock: Clock,
  delayMs: number,
  signal?: AbortSignal,
): Promise<void> {
  return new Promise(resolve => {
    if (signal?.aborted) {
      resolve();
      return;
    }
    const timer = clock.after(delayMs, finish);
    signal?.addEventListener('abort', finish, {once: true});
    function finish(): void {
      timer.cancel();
      signal?.removeEventListener('abort', finish);
      resolve();
    }
  });
}
