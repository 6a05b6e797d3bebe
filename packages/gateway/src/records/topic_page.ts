import type {KeyedRecord} from './keyed_record.js';

/** Records of a topic that one or more calls read. */
export interface TopicPage {
  readonly records: readonly KeyedRecord[];
  /** The next position to read from. */
  readonly next: number;
  /** Whether everything up to the topic's end was read. */
  readonly isWhole: boolean;
}
