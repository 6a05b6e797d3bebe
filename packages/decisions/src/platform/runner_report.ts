/** The state that an engine reports about itself, with a delay. */
export interface RunnerReport {
  readonly running: number;
  readonly waiting: number;
  /** Number of requests that it processes concurrently. */
  readonly slots: number;
  /** The versions whose weights are loaded. */
  readonly versions: readonly string[];
  /** Whether it rejects orders with an outdated fencing token. */
  readonly checksOrders: boolean;
  /** Number of versions that it can have loaded. */
  readonly versionSlots: number;
}
