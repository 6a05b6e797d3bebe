import type {Topic} from './topic.js';
import type {TopicPage} from './topic_page.js';

interface ReadOptions {
  readonly topic: Topic;
  readonly from: number;
  /** Long-poll timeout, in ms: how long the store may wait for a first record. */
  readonly waitMs: number;
}

interface AppendOptions {
  readonly topic: Topic;
  readonly key: string;
  /** Absent removes the key. */
  readonly value?: string;
  /** The append succeeds only if the topic ends at this offset. */
  readonly expectedEnd?: number;
}

/** The operations of the platform's record store that hosts use. Failures are {@link StoreFailure}s. */
export interface RecordStore {
  /** Reads the newest record of each key. The pages are not a snapshot; `next` is where to continue. */
  readNewest(topic: Topic): Promise<TopicPage>;
  /** Reads records in order; fails with kind `trimmed` if they are no longer retained. */
  readFrom(options: ReadOptions): Promise<TopicPage>;
  /** Appends a record; fails with kind `conflict` if the topic does not end as expected. */
  append(options: AppendOptions): Promise<void>;
  /** Closes keep-alive connections so that the next call opens a new one. */
  disconnect(): void;
}
