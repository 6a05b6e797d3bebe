import type {LogLine} from './log_line.js';

/** The history of one request, from the logs. */
export interface RequestTimeline {
  readonly request: string;
  /** Its own lines, in order. */
  readonly lines: readonly LogLine[];
  /** The state of its hosts and runners as the hosts knew it when it began: the newest line of each topic. */
  readonly beliefs: readonly LogLine[];
  /** Changes at its hosts, or of its runners, while it ran. */
  readonly changes: readonly LogLine[];
}
