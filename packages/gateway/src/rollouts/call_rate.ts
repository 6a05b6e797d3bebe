import type {Clock} from '@bayspool/kernel';

interface Options {
  readonly clock: Clock;
}

interface Sample {
  readonly at: number;
  readonly total: number;
}

/** Pause between two samples, in ms. */
const SAMPLE_INTERVAL_MS = 250;
/** Samples kept: the last 1.5 seconds, so that a surge is known before it has used up what a version may get. */
const MAX_SAMPLES = 7;

/** Shorter times tell chance rather than a rate, in ms. */
const MIN_MEASURED_MS = 500;

/** How fast a count grows: the higher one of the rates of the last seconds and of all the time. */
export class CallRate {
  private readonly samples: Sample[] = [];

  constructor(private readonly options: Options) {}

  /**
   * Takes the count as it is now, and tells how fast it grows, a ms.
   *
   * @param elapsedMs time in which it grew from 0
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
  const forMs = to.at - from.at;
  if (forMs < MIN_MEASURED_MS) return 0;
  return Math.max(0, to.total - from.total) / forMs;
}
