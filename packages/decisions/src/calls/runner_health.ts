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
const EJECT_MS = 1_500;
/** Longest time of an ejection, in ms. */
const MAX_EJECT_MS = 12_000;
/** How long after an ejection a further one counts as in a row, in ms. */
const MEMORY_MS = 20_000;

/** Outcomes of one runner, the newer the weightier, and whether it is left alone for a time. */
export class RunnerHealth {
  private ok = 0;
  private failed = 0;
  private countedAt = 0;
  private ejectedUntil = -Infinity;
  private ejections = 0;

  constructor(private readonly options: Options) {}

  /** Whether it is left alone now. */
  get isEjected(): boolean {
    return this.options.clock.now() < this.ejectedUntil;
  }

  /** Weight of its good answers. */
  get okWeight(): number {
    this.fade();
    return this.ok;
  }

  /** Weight of its failures. */
  get failedWeight(): number {
    this.fade();
    return this.failed;
  }

  /** Counts a good answer. */
  countOk(): void {
    this.fade();
    this.ok += 1;
  }

  /** @param weight over 1 for failures that leave little doubt, such as a refused connection */
  countFailure(weight = 1): void {
    this.fade();
    this.failed += weight;
  }

  /**
   * Ejects the runner if it fails clearly more often than the others do.
   * @returns the time for which it is left alone, in ms; undefined if it is not ejected now
   */
  ejectIfWorse(
    othersShare: number,
    remoteOk: number,
    remoteFailed: number,
  ): number | undefined {
    this.fade();
    const failed = this.failed + remoteFailed;
    const ended = failed + this.ok + remoteOk;
    if (this.isEjected || failed < MIN_FAILURES) return undefined;
    if (failed / ended < othersShare + FAILURE_MARGIN) return undefined;
    return this.eject();
  }

  private eject(): number {
    const now = this.options.clock.now();
    if (now - this.ejectedUntil > MEMORY_MS) this.ejections = 0;
    const forMs = Math.min(MAX_EJECT_MS, EJECT_MS * 2 ** this.ejections);
    this.ejections += 1;
    this.ejectedUntil = now + forMs;
    this.ok = 0;
    this.failed = 0;
    return forMs;
  }

  private fade(): void {
    const now = this.options.clock.now();
    const factor = 0.5 ** ((now - this.countedAt) / HALF_LIFE_MS);
    this.ok *= factor;
    this.failed *= factor;
    this.countedAt = now;
  }
}
