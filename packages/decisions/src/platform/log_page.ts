import type {LogRecord} from './log_record.js';

/** Consecutive records of a stream. */
export interface LogPage {
  readonly records: readonly LogRecord[];
  /** The oldest offset that is still retained. */
  readonly first: number;
  /** The offset of the next record to be appended. */
  readonly next: number;
}
