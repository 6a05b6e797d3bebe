import type {KeyedRecord} from '../records/keyed_record.js';
import type {RecordStore} from '../records/record_store.js';
import {StoreFailure} from '../records/store_failure.js';
import {StoreFailureKind} from '../records/store_failure_kind.js';
import type {Topic} from '../records/topic.js';
import type {TopicPage} from '../records/topic_page.js';

interface Stored {
  records: KeyedRecord[];
  firstKept: number;
}

/** Pause between two looks of a waiting read, in ms. */
const LOOK_MS = 5;

/** A record store in memory that tests can cut off, slow down and trim. */
export class MemoryRecordStore implements RecordStore {
  /** Fails every call while set. */
  isDown = false;
  /** Writes are done, but their answers are lost, while set. */
  losesAnswers = false;
  /** Time before a write is done, in ms. */
  appendMs = 0;
  /** Time before the newest records are read, in ms. */
  newestMs = 0;
  /** When it was first read, as `performance.now` tells; undefined if never. */
  firstReadAt: number | undefined;
  /** Calls by kind. */
  readonly calls = {newest: 0, read: 0, append: 0};
  private topics = new Map<Topic, Stored>();

  /** Another way to the same records, with failures of its own. */
  share(): MemoryRecordStore {
    const other = new MemoryRecordStore();
    other.topics = this.topics;
    return other;
  }

  /** Writes as operators and runners do, past all failures. */
  put(topic: Topic, key: string, value?: object): void {
    const stored = this.topic(topic);
    const offset = stored.firstKept + stored.records.length;
    const text = value === undefined ? undefined : JSON.stringify(value);
    stored.records.push({key, value: text, offset});
  }

  /** All records of a topic, for assertions. */
  records(topic: Topic): readonly KeyedRecord[] {
    return this.topic(topic).records;
  }

  async readNewest(topic: Topic): Promise<TopicPage> {
    this.calls.newest += 1;
    this.firstReadAt ??= performance.now();
    if (this.newestMs > 0)
      await new Promise(resolve => setTimeout(resolve, this.newestMs));
    this.checkUp();
    const {records, firstKept} = this.topic(topic);
    const newest = new Map(records.map(record => [record.key, record]));
    const live = [...newest.values()].filter(({value}) => value !== undefined);
    return {records: live, next: firstKept + records.length, isWhole: true};
  }

  async readFrom({
    topic,
    from,
    waitMs,
  }: {
    topic: Topic;
    from: number;
    waitMs: number;
  }): Promise<TopicPage> {
    this.calls.read += 1;
    this.firstReadAt ??= performance.now();
    const until = performance.now() + waitMs;
    for (;;) {
      this.checkUp();
      const {records, firstKept} = this.topic(topic);
      const next = firstKept + records.length;
      const found = records.slice(from - firstKept);
      if (found.length > 0 || performance.now() >= until)
        return {records: found, next, isWhole: true};
      await new Promise(resolve => setTimeout(resolve, LOOK_MS));
    }
  }

  async append({
    topic,
    key,
    value,
    expectedEnd,
  }: {
    topic: Topic;
    key: string;
    value?: string;
    expectedEnd?: number;
  }): Promise<void> {
    this.calls.append += 1;
    if (this.appendMs > 0)
      await new Promise(resolve => setTimeout(resolve, this.appendMs));
    this.checkUp();
    const stored = this.topic(topic);
    const offset = stored.firstKept + stored.records.length;
    if (expectedEnd !== undefined && expectedEnd !== offset)
      throw new StoreFailure(StoreFailureKind.CONFLICT, `ends at ${offset}`);
    stored.records.push({key, value, offset});
    if (this.losesAnswers)
      throw new StoreFailure(StoreFailureKind.UNREACHABLE, 'answer lost');
  }

  disconnect(): void {
    // Nothing is kept open.
  }

  private checkUp(): void {
    if (this.isDown)
      throw new StoreFailure(StoreFailureKind.UNREACHABLE, 'down');
  }

  private topic(topic: Topic): Stored {
    const known = this.topics.get(topic);
    if (known) return known;
    const stored = {records: [], firstKept: 0};
    this.topics.set(topic, stored);
    return stored;
  }
}
