import type {KeyedRecord} from './keyed_record.js';

/** Records that changed in the mirror of a topic. */
export interface MirrorUpdate {
  readonly changed: readonly KeyedRecord[];
  /** Whether the whole mirror was reloaded: keys that the reload lacks are removed. */
  readonly isReload: boolean;
}
