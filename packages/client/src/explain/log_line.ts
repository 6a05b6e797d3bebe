/** One event of a host's structured log. */
export interface LogLine {
  /** Time of day at the host, ISO 8601. Clocks of hosts may differ by some ms or, after a clock step, by seconds. */
  readonly time: string;
  /** The process's monotonic clock, in ms; orders the lines of one incarnation of the process. */
  readonly steadyMs: number;
  readonly host: string;
  readonly event: string;
  /** The id of the request that the event concerns, if any. */
  readonly request?: string;
  readonly [field: string]: unknown;
}
