const SAMPLE_INTERVAL_MS = 5;
const MIB = 1_048_576;

/** Measures by how much the memory of this process that JavaScript holds has grown at most, in MiB. */
export class MemoryPeak {
  private readonly startedAt = measureMib();
  private peak = 0;
  private readonly timer = setInterval(
    () => this.sample(),
    SAMPLE_INTERVAL_MS,
  ).unref();

  /** Ends the measurement. @returns the growth */
  stop(): number {
    this.sample();
    clearInterval(this.timer);
    return this.peak;
  }

  private sample(): void {
    this.peak = Math.max(this.peak, measureMib() - this.startedAt);
  }
}

function measureMib(): number {
  const {heapUsed, arrayBuffers} = process.memoryUsage();
  return (heapUsed + arrayBuffers) / MIB;
}
