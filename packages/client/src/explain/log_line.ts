/** A line of a host's log. */
export interface LogLine {
  /** Time of day at the host, ISO 8601; hosts may differ by some ms or, after a jump, by seconds. */
  readonly time: string;
  /** The host's steady clock, in ms; orders the lines of one start of a process. */
  readonly steadyMs: number;
  readonly host: string;
  readonly event: string;
  /** The id of the request that the line is about, if it is about one. */
  readonly request?: string;
  readonly [field: string]: unknown;
}
