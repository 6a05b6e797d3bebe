import type {Timer} from './timer.js';

/** The only source of time in bayspool. All values are milliseconds. */
export interface Clock {
  /** Milliseconds on a monotonic scale; only differences have a meaning. */
  now(): number;
  /** Milliseconds since the Unix epoch; may jump, so only shown, never compared between hosts. */
  wall(): number;
  /** Runs `action` once after `delayMs`. */
  after(delayMs: number, action: () => void): Timer;
}
