import type {KeyedRecord} from './keyed_record.js';

/** What one host's copy of a topic has that another's lacks. */
export interface TopicDelta {
  /** Removals included, unless it is a replacement. */
  readonly records: readonly KeyedRecord[];
  /** Whether these are all records, so that what is not among them is gone. */
  readonly isReplacement: boolean;
}
