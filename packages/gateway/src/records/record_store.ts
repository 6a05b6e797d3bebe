import type {Topic} from './topic.js';
import type {TopicPage} from './topic_page.js';

interface ReadOptions {
  readonly topic: Topic;
  readonly from: number;
  /** How long the store may wait for a first record, in ms. */
  readonly waitMs: number;
}

interface AppendOptions {
  readonly topic: Topic;
  readonly key: string;
  /** Absent to remove the key. */
  readonly value?: string;
  /** The append is done only while the topic ends here. */
  readonly expectedEnd?: number;
}

/** The platform's store, as far as hosts use it. Failures are {@link StoreFailure}s. */
export interface RecordStore {
  /** The newest record of each key. The pages are no snapshot; `next` is where to read on. */
  readNewest(topic: Topic): Promise<TopicPage>;
  /** Records in order; fails with kind `trimmed` when they are no longer kept. */
  readFrom(options: ReadOptions): Promise<TopicPage>;
  /** Adds a record; fails with kind `conflict` when the topic does not end as expected. */
  append(options: AppendOptions): Promise<void>;
  /** Closes kept connections, so that the next call opens a new one. */
  disconnect(): void;
}
