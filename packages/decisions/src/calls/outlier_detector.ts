import type {Clock} from '@bayspool/kernel';

interface Options {
  readonly clock: Clock;
}

/** Half-life of the weight of an outcome, in ms. */
const HALF_LIFE_MS = 3_000;
/** Weight of failures required to eject a runner. */
const MIN_FAILURES = 2.5;
/** Excess of the failure rate over that of the other runners at which a runner is ejected. */
const FAILURE_MARGIN = 0.22;
/** Duration of the first ejection, in ms; it doubles with each consecutive one. */
const BASE_EJECTION_MS = 1_500;
/** Maximum duration of an ejection, in ms. */
const MAX_EJECTION_MS = 12_000;
/** Time after an ejection within which the next one counts as consecutive, in ms. */
const CONSECUTIVE_WINDOW_MS = 20_000;

/**
 * Outlier detection for one runner: tracks its outcomes with exponential decay and ejects it for
 * some time if it fails more often than the others.
 */
export class OutlierDetector {
  private successes = 0;
  private failures = 0;
  private decayedAt = 0;
  private ejectedUntil = -Infinity;
  private consecutiveEjections = 0;

  constructor(private readonly options: Options) {}

  /** Whether the runner is ejected now. */
  get isEjected(): boolean {
    return this.options.clock.now() < this.ejectedUntil;
  }

  /** Decayed weight of its successful calls. */
  get successWeight(): number {
    this.decay();
    return this.successes;
  }

  /** Decayed weight of its failures. */
  get failureWeight(): number {
    this.decay();
    return this.failures;
  }

  /** Records a successful call. */
  recordSuccess(): void {
    this.decay();
    this.successes += 1;
  }

  /**
   * Records a failure.
   *
   * @param weight over 1 for failures that leave little doubt, such as a refused connection
   */
  recordFailure(weight = 1): void {
    this.decay();
    this.failures += weight;
  }

  /**
   * Ejects the runner if it fails clearly more often than the others.
   *
   * @param othersFailureRate failure rate of the other runners
   * @param remoteSuccesses weight of its successful calls on other hosts
   * @param remoteFailures weight of its failures on other hosts
   * @returns duration of the ejection, in ms; undefined if the runner is not ejected now
   */
  ejectIfOutlier(
    othersFailureRate: number,
    remoteSuccesses: number,
    remoteFailures: number,
  ): number | undefined {
    this.decay();
    const failures = this.failures + remoteFailures;
    const ended = failures + this.successes + remoteSuccesses;
    if (this.isEjected || failures < MIN_FAILURES) return undefined;
    if (failures / ended < othersFailureRate + FAILURE_MARGIN) return undefined;
    return this.eject();
  }

  /** Forgets all outcomes and ends an ejection: the failures were not the runner's. */
  reset(): void {
    this.successes = 0;
    this.failures = 0;
    this.ejectedUntil = -Infinity;
    this.consecutiveEjections = 0;
  }

  private eject(): number {
    const now = this.options.clock.now();
    if (now - this.ejectedUntil > CONSECUTIVE_WINDOW_MS)
      this.consecutiveEjections = 0;
    const ejectionMs = Math.min(
      MAX_EJECTION_MS,
      BASE_EJECTION_MS * 2 ** this.consecutiveEjections,
    );
    this.consecutiveEjections += 1;
    this.ejectedUntil = now + ejectionMs;
    this.successes = 0;
    this.failures = 0;
    return ejectionMs;
  }

  private decay(): void {
    const now = this.options.clock.now();
    const factor = 0.5 ** ((now - this.decayedAt) / HALF_LIFE_MS);
    this.successes *= factor;
    this.failures *= factor;
    this.decayedAt = now;
  }
}
