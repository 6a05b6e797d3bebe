import type {KeyedRecord} from './keyed_record.js';

/** Records that changed in a copy of a topic. */
export interface MirrorUpdate {
  readonly changed: readonly KeyedRecord[];
  /** Whether the copy was loaded whole: what is missing in it is gone. */
  readonly isReload: boolean;
}
