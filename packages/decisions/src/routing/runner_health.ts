import type {Clock, RandomSource} from '@bayspool/kernel';
import {jitter} from '@bayspool/kernel';

interface Options {
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Failures in a row after which a runner is ejected. */
  readonly failuresMost: number;
  /** The first ejection's length in ms; it doubles with each further one. */
  readonly ejectMs: number;
  readonly ejectMostMs: number;
  /** How long a runner that returns takes to get its full share, in ms. */
  readonly slowStartMs: number;
}

const MIN_SLOW_START_SHARE = 0.1;

/** Whether a runner is fit for work, from the failures that this host saw. */
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
    if (
      this.consecutiveFailures < this.options.failuresMost ||
      this.isEjected()
    )
      return;
    const length = Math.min(
      this.options.ejectMs * 2 ** this.consecutiveEjections,
      this.options.ejectMostMs,
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

  /** The part of its full share that the runner gets, 0.1 to 1, growing after it returned. */
  share(): number {
    const since = this.options.clock.now() - this.returnedAt;
    return Math.min(
      1,
      Math.max(MIN_SLOW_START_SHARE, since / this.options.slowStartMs),
    );
  }
}
