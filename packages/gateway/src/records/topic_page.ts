import type {KeyedRecord} from './keyed_record.js';

/** What one or several calls read of a topic. */
export interface TopicPage {
  readonly records: readonly KeyedRecord[];
  /** The next position to read from. */
  readonly next: number;
  /** Whether everything up to the topic's end was read. */
  readonly isWhole: boolean;
}
