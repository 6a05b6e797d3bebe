import type {LogLine} from './log_line.js';

/** What the logs tell of one request. */
export interface RequestTimeline {
  readonly request: string;
  /** Its own lines, in order. */
  readonly lines: readonly LogLine[];
  /** What its host and its runners were believed to be when it began, the newest line of each matter. */
  readonly beliefs: readonly LogLine[];
  /** What changed at its host, or about its runners, while it ran. */
  readonly changes: readonly LogLine[];
}
