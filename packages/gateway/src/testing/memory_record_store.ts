import type {KeyedRecord} from '../records/keyed_record.js';
import type {RecordStore} from '../records/record_store.js';
import {StoreFailure} from '../records/store_failure.js';
import {StoreFailureKind} from '../records/store_failure_kind.js';
import type {Topic} from '../records/topic.js';
import type {TopicPage} from '../records/topic_page.js';

interface StoredTopic {
  records: KeyedRecord[];
  firstOffset: number;
}

/** Interval at which a long poll checks for new records, in ms. */
const POLL_INTERVAL_MS = 5;

/** An in-memory record store that tests can make unreachable or slow. */
export class MemoryRecordStore implements RecordStore {
  /** Makes every call fail while set. */
  isDown = false;
  /** Topics whose calls fail: a part of the store is down. */
  readonly downTopics = new Set<Topic>();
  /** While set, writes succeed but their responses are lost. */
  losesResponses = false;
  /** Delay of each write, in ms. */
  appendDelayMs = 0;
  /** Delay of each read of the newest records, in ms. */
  snapshotDelayMs = 0;
  /** Time of the first read, by `performance.now()`; undefined before it. */
  firstReadAt: number | undefined;
  /** Number of calls by kind. */
  readonly calls = {newest: 0, read: 0, append: 0};
  private topics = new Map<Topic, StoredTopic>();

  /** Creates a second client of the same records, with its own failures. */
  share(): MemoryRecordStore {
    const other = new MemoryRecordStore();
    other.topics = this.topics;
    return other;
  }

  /** Writes a record as operators and runners do, unaffected by simulated failures. */
  put(topic: Topic, key: string, value?: object): void {
    const stored = this.topic(topic);
    const offset = stored.firstOffset + stored.records.length;
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
    if (this.snapshotDelayMs > 0)
      await new Promise(resolve => setTimeout(resolve, this.snapshotDelayMs));
    this.checkAvailable(topic);
    const {records, firstOffset} = this.topic(topic);
    const newest = new Map(records.map(record => [record.key, record]));
    const live = [...newest.values()].filter(({value}) => value !== undefined);
    return {records: live, next: firstOffset + records.length, isWhole: true};
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
    const deadline = performance.now() + waitMs;
    for (;;) {
      this.checkAvailable(topic);
      const {records, firstOffset} = this.topic(topic);
      const next = firstOffset + records.length;
      const newRecords = records.slice(from - firstOffset);
      if (newRecords.length > 0 || performance.now() >= deadline)
        return {records: newRecords, next, isWhole: true};
      await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL_MS));
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
    if (this.appendDelayMs > 0)
      await new Promise(resolve => setTimeout(resolve, this.appendDelayMs));
    this.checkAvailable(topic);
    const stored = this.topic(topic);
    const offset = stored.firstOffset + stored.records.length;
    if (expectedEnd !== undefined && expectedEnd !== offset)
      throw new StoreFailure(
        StoreFailureKind.CONFLICT,
        `the topic ends at ${offset}`,
      );
    stored.records.push({key, value, offset});
    if (this.losesResponses)
      throw new StoreFailure(StoreFailureKind.UNREACHABLE, 'response lost');
  }

  disconnect(): void {
    // There are no connections to close.
  }

  private checkAvailable(topic: Topic): void {
    if (this.isDown || this.downTopics.has(topic))
      throw new StoreFailure(StoreFailureKind.UNREACHABLE, 'the store is down');
  }

  private topic(topic: Topic): StoredTopic {
    const known = this.topics.get(topic);
    if (known) return known;
    const stored = {records: [], firstOffset: 0};
    this.topics.set(topic, stored);
    return stored;
  }
}
