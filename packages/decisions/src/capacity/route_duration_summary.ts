import type {DurationSummary} from './duration_summary.js';

/** How long calls of a route take at one host. */
export interface RouteDurationSummary {
  readonly route: string;
  /** Number of calls that it rests on; more than count at a host are not told apart. */
  readonly count: number;
  readonly total: DurationSummary;
  /** The same per output token that callers state; absent if too few have stated a number. */
  readonly perToken?: DurationSummary;
}
