/** What a host knows of the limit that one start of a runner names, for other hosts. */
export interface LimitObservation {
  /** The runner's start, see {@link startOf}. */
  readonly runner: string;
  /** Requests a second; absent if it names no limit any more. */
  readonly perSecond?: number;
  /** Time since an answer said so, in ms. */
  readonly ageMs: number;
}
