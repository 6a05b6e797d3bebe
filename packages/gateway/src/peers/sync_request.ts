import type {Topic} from '../records/topic.js';
import type {LimitObservation} from '../runners/limit_observation.js';
import type {HostEntry} from './host_entry.js';
import type {LoadDigest} from './load_digest.js';

/** What a host says when it asks another for news. */
export interface SyncRequest {
  readonly from: HostEntry;
  /** Next position of each topic's copy; absent topics are not loaded yet. */
  readonly positions: Partial<Record<Topic, number>>;
  /** What the asking host itself has and saw; empty for a host that is not of the same place. */
  readonly digest: LoadDigest;
  /** What it knows of limits that runners name; hosts of an earlier version tell none. */
  readonly limits?: readonly LimitObservation[];
  /** How long the other may wait for news, in ms. */
  readonly waitMs: number;
}
