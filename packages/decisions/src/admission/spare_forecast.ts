import type {Clock} from '@bayspool/kernel';

/** Spare part of the capacity that is assumed without samples: services are planned for a load of about 0.8. */
const USUAL_SPARE_PART = 0.2;
/** Spare part that is always expected, so that a wrong or stale demand can't keep callers away for ever. */
const MIN_SPARE_PART = 0.1;
/** Time in which the weight of a sample halves, in ms: longer than a burst, of the order of a wave of demand. */
const HALF_LIFE_MS = 10_000;
/** Longest time for which a sample stands, in ms: samples only come while calls are rejected. */
const MAX_SAMPLE_MS = 1_000;

/**
 * Forecasts which part of a service's capacity will be left beside its demand, as a long mean of the present part.
 * Responds to the load of the last ten seconds or so; a burst of one second changes it little.
 */
export class SpareForecast {
  private mean = USUAL_SPARE_PART;
  private sampledAt: number;

  constructor(private readonly clock: Clock) {
    this.sampledAt = clock.now();
  }

  /** Spare part of the capacity, above 0 and at most 1. */
  get sparePart(): number {
    return Math.max(MIN_SPARE_PART, this.mean);
  }

  /**
   * Adds the part of the capacity that is spare now; negative in a shortage. Demand beyond twice the capacity counts as
   * twice: it is a burst, and no level that lasts.
   */
  addSample(part: number): void {
    if (!Number.isFinite(part)) return;
    const now = this.clock.now();
    const elapsedMs = now - this.sampledAt;
    this.sampledAt = now;
    const sampleMs = Math.min(MAX_SAMPLE_MS, elapsedMs);
    // Without rejections there was capacity left.
    this.approach(USUAL_SPARE_PART, elapsedMs - sampleMs);
    this.approach(Math.max(-1, Math.min(1, part)), sampleMs);
  }

  private approach(part: number, forMs: number): void {
    this.mean += (part - this.mean) * (1 - 2 ** (-forMs / HALF_LIFE_MS));
  }
}
