/** How long an attempt took to its first byte, in ms, and what was expected. */
export interface AttemptTiming {
  readonly firstMs?: number;
  readonly expectedMs: number;
  /** Whether the runner had little else to read. */
  readonly isUnloaded: boolean;
  /** Whether the runner had fallen silent. */
  readonly wasQuiet: boolean;
}
