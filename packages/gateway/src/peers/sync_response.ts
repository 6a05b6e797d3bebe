import type {Topic} from '../records/topic.js';
import type {TopicDelta} from '../records/topic_delta.js';
import type {LimitObservation} from '../runners/limit_observation.js';
import type {LoadDigest} from './load_digest.js';
import type {ServingStatement} from './serving_statement.js';
import type {ToldDurations} from './told_durations.js';

/** The changes of a topic that the requesting host lacks. */
interface SyncedTopic extends TopicDelta {
  readonly next: number;
  /** Time since the responding host's mirror was last known to be complete, in ms; absent if it never was. */
  readonly ageMs?: number;
}

/** Response to a sync request. */
export interface SyncResponse extends ServingStatement {
  readonly topics: Partial<Record<Topic, SyncedTopic>>;
  /** The place of the responding host. */
  readonly place: string;
  /** The sum over all hosts if both hosts are of one place, otherwise over the place of the responding host. */
  readonly loads: LoadDigest;
  /** Declared limits that the responding host knows; hosts of an earlier version send none. */
  readonly limits?: readonly LimitObservation[];
  /** Incarnations of runners that the responding host knows to be leaving; absent if there are none. */
  readonly leaving?: readonly string[];
  /** What the requesting host asked for, as far as it is known; absent if that is nothing. */
  readonly durations?: readonly ToldDurations[];
  /** Routes of which the responding host asks how long calls take, of hosts of its own place; absent if there are none. */
  readonly wantedDurations?: readonly string[];
  /** Whether the responding host is still loading topics from the store. */
  readonly isLoading?: boolean;
  /** Places of which no host responds to the responding host; sent only to hosts of its own place. */
  readonly lostPlaces?: readonly string[];
}
