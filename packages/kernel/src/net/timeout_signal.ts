import type {Clock} from '../clock/clock.js';
import {afterReads} from './after_reads.js';

/** A signal that aborts by itself unless it is cancelled before. */
interface TimeoutSignal {
  readonly signal: AbortSignal;
  cancel(): void;
}

/** Gives a signal that aborts after `ms` of the clock's time, once what had arrived by then has been read. */
export function timeoutSignal(clock: Clock, ms: number): TimeoutSignal {
  const controller = new AbortController();
  const timer = afterReads(clock, ms, () => controller.abort());
  return {signal: controller.signal, cancel: () => timer.cancel()};
}
