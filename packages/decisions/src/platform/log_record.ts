/** A record stored in the log. */
export interface LogRecord {
  readonly offset: number;
  /** Wall time of the append by the log's clock, in ms; equal for all readers. */
  readonly at: number;
  readonly value: string;
}
