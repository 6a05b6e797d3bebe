/** How long an attempt took to its first byte, in ms, and what was expected. */
export interface AttemptTiming {
  readonly firstMs?: number;
  /** Time from one event to the next on average, in ms; undefined if there were too few. */
  readonly eventMs?: number;
  /** How long the attempt took in all, in ms. */
  readonly forMs: number;
  readonly expectedMs: number;
  /** Whether the runner had little else to read. */
  readonly isUnloaded: boolean;
  /** Whether the runner had fallen silent. */
  readonly wasQuiet: boolean;
}
