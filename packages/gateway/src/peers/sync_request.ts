import type {Topic} from '../records/topic.js';
import type {LimitObservation} from '../runners/limit_observation.js';
import type {HostEntry} from './host_entry.js';
import type {LoadDigest} from './load_digest.js';
import type {ServingStatement} from './serving_statement.js';
import type {ToldDurations} from './told_durations.js';

/** Request for the changes that the requesting host lacks, along with its own state. */
export interface SyncRequest extends ServingStatement {
  readonly from: HostEntry;
  /** Next position of each topic's mirror; topics that are not loaded yet are absent. */
  readonly positions: Partial<Record<Topic, number>>;
  /** The requesting host's own load digest; empty if the hosts are of different places. */
  readonly digest: LoadDigest;
  /** Declared limits that the requesting host knows; hosts of an earlier version send none. */
  readonly limits?: readonly LimitObservation[];
  /** Incarnations of runners that the requesting host knows to be leaving; absent if there are none. */
  readonly leaving?: readonly string[];
  /** Routes of which the requesting host asks how long calls take; absent if there are none. */
  readonly wantedDurations?: readonly string[];
  /** What the responding host asked for in its last response; absent if that is nothing. */
  readonly durations?: readonly ToldDurations[];
  /** How long the responding host may hold the request until there are changes, in ms. */
  readonly waitMs: number;
}
