const INITIAL_ESTIMATE_MS = 500;
const SMOOTHING_FACTOR = 0.1;

/** The recent time to a whole answer, by version. */
export class CompletionTimeEstimator {
  private readonly meanMsByVersion = new Map<string, number>();

  recordDuration(version: string, ms: number): void {
    const mean = this.estimateMs(version);
    this.meanMsByVersion.set(version, mean + SMOOTHING_FACTOR * (ms - mean));
  }

  /** The expected time in ms; half a second while nothing is known. */
  estimateMs(version: string): number {
    return this.meanMsByVersion.get(version) ?? INITIAL_ESTIMATE_MS;
  }
}
