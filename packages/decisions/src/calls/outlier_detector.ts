import type {Clock} from '@bayspool/kernel';

interface Options {
  readonly clock: Clock;
}

/** Time in which the weight of an outcome falls to half, in ms. */
const HALF_LIFE_MS = 3_000;
/** Failures, by weight, before a runner can be ejected. */
const MIN_FAILURES = 2.5;
/** Share of failures over that of the other runners at which a runner is ejected. */
const FAILURE_MARGIN = 0.22;
/** First time of an ejection, in ms; it doubles with each one in a row. */
const BASE_EJECTION_MS = 1_500;
/** Longest time of an ejection, in ms. */
const MAX_EJECTION_MS = 12_000;
/** How long after an ejection a further one counts as in a row, in ms. */
const CONSECUTIVE_WINDOW_MS = 20_000;

/** Outcomes of one runner, the newer the weightier, and whether it is left alone for a time. */
export class OutlierDetector {
  private successes = 0;
  private failures = 0;
  private decayedAt = 0;
  private ejectedUntil = -Infinity;
  private consecutiveEjections = 0;

  constructor(private readonly options: Options) {}

  /** Whether it is left alone now. */
  get isEjected(): boolean {
    return this.options.clock.now() < this.ejectedUntil;
  }

  /** Weight of its good answers. */
  get successWeight(): number {
    this.decay();
    return this.successes;
  }

  /** Weight of its failures. */
  get failureWeight(): number {
    this.decay();
    return this.failures;
  }

  /** Counts a good answer. */
  recordSuccess(): void {
    this.decay();
    this.successes += 1;
  }

  /** @param weight over 1 for failures that leave little doubt, such as a refused connection */
  recordFailure(weight = 1): void {
    this.decay();
    this.failures += weight;
  }

  /**
   * Ejects the runner if it fails clearly more often than the others do.
   * @returns the time for which it is left alone, in ms; undefined if it is not ejected now
   */
  ejectIfOutlier(
    othersShare: number,
    remoteOk: number,
    remoteFailed: number,
  ): number | undefined {
    this.decay();
    const failed = this.failures + remoteFailed;
    const ended = failed + this.successes + remoteOk;
    if (this.isEjected || failed < MIN_FAILURES) return undefined;
    if (failed / ended < othersShare + FAILURE_MARGIN) return undefined;
    return this.eject();
  }

  private eject(): number {
    const now = this.options.clock.now();
    if (now - this.ejectedUntil > CONSECUTIVE_WINDOW_MS)
      this.consecutiveEjections = 0;
    const forMs = Math.min(
      MAX_EJECTION_MS,
      BASE_EJECTION_MS * 2 ** this.consecutiveEjections,
    );
    this.consecutiveEjections += 1;
    this.ejectedUntil = now + forMs;
    this.successes = 0;
    this.failures = 0;
    return forMs;
  }

  private decay(): void {
    const now = this.options.clock.now();
    const factor = 0.5 ** ((now - this.decayedAt) / HALF_LIFE_MS);
    this.successes *= factor;
    this.failures *= factor;
    this.decayedAt = now;
  }
}
