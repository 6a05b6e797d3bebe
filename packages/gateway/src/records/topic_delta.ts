import type {KeyedRecord} from './keyed_record.js';

/** The records of a topic that one host's mirror has and another's lacks. */
export interface TopicDelta {
  /** Includes tombstones unless this is a full replacement. */
  readonly records: readonly KeyedRecord[];
  /** Whether these are all live records, so that every other key is removed. */
  readonly isReplacement: boolean;
}
