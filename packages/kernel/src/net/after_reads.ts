import type {Clock} from '../clock/clock.js';
import type {Timer} from '../clock/timer.js';
import {readReceived} from './read_received.js';

/**
 * Runs `action` after `delayMs`, once what the kernel had received by then has been read. A process that stood still runs its
 * timers before it reads, and would take its own delay for silence of the other side.
 */
export function afterReads(
  clock: Clock,
  delayMs: number,
  action: () => void,
): Timer {
  let isCancelled = false;
  const timer = clock.after(delayMs, () => {
    void readReceived().then(() => {
      if (!isCancelled) action();
    });
  });
  return {
    cancel: () => {
      isCancelled = true;
      timer.cancel();
    },
  };
}
