import type {Clock, RandomSource} from '@bayspool/kernel';
import {jitter} from '@bayspool/kernel';

interface Options {
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Consecutive failures after which a runner is ejected. */
  readonly maxFailures: number;
  /** Length of the first ejection in ms; it doubles with each consecutive one. */
  readonly ejectionMs: number;
  readonly maxEjectionMs: number;
  /** Time over which a returning runner ramps up to its full share, in ms. */
  readonly slowStartMs: number;
}

const MIN_SLOW_START_SHARE = 0.1;

/** Outlier detection for one runner: ejects it after consecutive failures that this host observed. */
export class RunnerHealth {
  private consecutiveFailures = 0;
  private consecutiveEjections = 0;
  private ejectedUntil = -Infinity;
  private returnedAt = -Infinity;

  constructor(private readonly options: Options) {}

  recordSuccess(): void {
    this.consecutiveFailures = 0;
    if (!this.isEjected()) this.consecutiveEjections = 0;
  }

  recordFailure(): void {
    this.consecutiveFailures++;
    if (this.consecutiveFailures < this.options.maxFailures || this.isEjected())
      return;
    const length = Math.min(
      this.options.ejectionMs * 2 ** this.consecutiveEjections,
      this.options.maxEjectionMs,
    );
    this.consecutiveEjections++;
    this.consecutiveFailures = 0;
    this.ejectedUntil =
      this.options.clock.now() + jitter(this.options.random, length);
    this.returnedAt = this.ejectedUntil;
  }

  isEjected(): boolean {
    return this.options.clock.now() < this.ejectedUntil;
  }

  /** Returns the fraction of its full share that the runner gets: 0.1 to 1, growing after an ejection (slow start). */
  share(): number {
    const since = this.options.clock.now() - this.returnedAt;
    return Math.min(
      1,
      Math.max(MIN_SLOW_START_SHARE, since / this.options.slowStartMs),
    );
  }
}
