import type {Clock} from '@bayspool/kernel';

interface Options {
  readonly clock: Clock;
}

interface Sample {
  readonly at: number;
  readonly total: number;
}

/** Minimum interval between two samples, in ms. */
const SAMPLE_INTERVAL_MS = 250;
/** Samples kept: the last 1.5 seconds, so that a surge is detected before it uses up the calls allowed for a version. */
const MAX_SAMPLES = 7;

/** Shortest interval from which a rate is computed, in ms; over shorter ones the rate is mostly noise. */
const MIN_MEASURED_MS = 500;

/** Estimates the growth rate of a counter: the higher of its recent rate and its overall rate. */
export class CallRate {
  private readonly samples: Sample[] = [];

  constructor(private readonly options: Options) {}

  /**
   * Records the current value of the counter and returns its growth rate per ms.
   *
   * @param elapsedMs time in which the counter grew from 0, in ms
   */
  measurePerMs(total: number, elapsedMs: number): number {
    const at = this.options.clock.now();
    const now = {at, total};
    this.addSample(now);
    const first = {at: at - elapsedMs, total: 0};
    return Math.max(computeRate(first, now), computeRate(this.samples[0], now));
  }

  private addSample(now: Sample): void {
    const last = this.samples.at(-1);
    if (last && now.at - last.at < SAMPLE_INTERVAL_MS) return;
    this.samples.push(now);
    if (this.samples.length > MAX_SAMPLES) this.samples.shift();
  }
}

function computeRate(from: Sample, to: Sample): number {
  const intervalMs = to.at - from.at;
  if (intervalMs < MIN_MEASURED_MS) return 0;
  return Math.max(0, to.total - from.total) / intervalMs;
}
