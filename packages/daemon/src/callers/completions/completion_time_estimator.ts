const INITIAL_ESTIMATE_MS = 500;
const SMOOTHING_FACTOR = 0.1;

/** Estimates the time to a complete answer of each version from recent requests. */
export class CompletionTimeEstimator {
  private readonly meanMsByVersion = new Map<string, number>();

  recordDuration(version: string, ms: number): void {
    const mean = this.estimateMs(version);
    this.meanMsByVersion.set(version, mean + SMOOTHING_FACTOR * (ms - mean));
  }

  /** Estimates the time in ms; half a second while there is no data. */
  estimateMs(version: string): number {
    return this.meanMsByVersion.get(version) ?? INITIAL_ESTIMATE_MS;
  }
}
