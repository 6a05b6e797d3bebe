/** A gap between two samples. */
interface Gap {
  /** Time of its end, in ms. */
  readonly at: number;
  /** How much longer than the sample interval it was, in ms. */
  readonly lostMs: number;
}

const SAMPLE_INTERVAL_MS = 2;

/** Measures the time in which this process could not run, so that a test can tell it from the time that the code takes. */
export class LoopLag {
  private readonly gaps: Gap[] = [];
  private lastAt = performance.now();
  private readonly timer = setInterval(
    () => this.sample(),
    SAMPLE_INTERVAL_MS,
  ).unref();

  /** Sums the lost time of the gaps that end in a span or shortly after it, in ms. */
  sumLostMs(from: number, until: number): number {
    return this.gaps
      .filter(({at, lostMs}) => at > from && at - lostMs < until)
      .reduce((sum, {lostMs}) => sum + lostMs, 0);
  }

  /** Counts the gaps of at least this length that end in a span or shortly after it. */
  countGaps(from: number, until: number, minLostMs: number): number {
    return this.gaps.filter(
      ({at, lostMs}) => lostMs >= minLostMs && at > from && at - lostMs < until,
    ).length;
  }

  stop(): void {
    clearInterval(this.timer);
  }

  private sample(): void {
    const now = performance.now();
    const lostMs = now - this.lastAt - SAMPLE_INTERVAL_MS;
    if (lostMs > SAMPLE_INTERVAL_MS) this.gaps.push({at: now, lostMs});
    this.lastAt = now;
  }
}
