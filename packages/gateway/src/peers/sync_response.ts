import type {Topic} from '../records/topic.js';
import type {TopicNews} from '../records/topic_news.js';
import type {LimitObservation} from '../runners/limit_observation.js';
import type {LoadDigest} from './load_digest.js';

/** What a host knows of a topic that the asking one does not. */
interface SyncedTopic extends TopicNews {
  readonly next: number;
  /** How long ago its copy was known to be whole, in ms; absent if never. */
  readonly ageMs?: number;
}

/** News for a host that asked. */
export interface SyncResponse {
  readonly topics: Partial<Record<Topic, SyncedTopic>>;
  /** The place of the host that answers. */
  readonly place: string;
  /** The sum over all hosts for one of the same place, over the answering place for another. */
  readonly loads: LoadDigest;
  /** What the host that answers knows of limits that runners name; hosts of an earlier version tell none. */
  readonly limits?: readonly LimitObservation[];
  /** Whether the host that answers reads the store just now for what it does not know yet. */
  readonly isLoading?: boolean;
  /** Places of which no host answers the one that tells; for hosts of its own place. */
  readonly lostPlaces?: readonly string[];
}
