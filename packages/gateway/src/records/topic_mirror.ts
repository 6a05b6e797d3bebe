import type {KeyedRecord} from './keyed_record.js';
import type {MirrorUpdate} from './mirror_update.js';
import type {Topic} from './topic.js';
import type {TopicDelta} from './topic_delta.js';
import type {TopicPage} from './topic_page.js';

type Listener = (update: MirrorUpdate) => void;

/**
 * Time without a freshness confirmation after which the store counts as unavailable, in ms. It is longer than the
 * interval between two confirmations in normal operation (a long poll of one second, relayed by a host that answers
 * 40 others) and shorter than the three missed heartbeats after which entries lapse.
 */
const OUTAGE_THRESHOLD_MS = 3_000;

/**
 * Tombstones that a mirror retains for other hosts' mirrors: several hours of removals with 1,200 runners that are
 * each replaced a few times a day.
 */
const MAX_TOMBSTONES = 500;

/** A host's copy of the newest record of each key of a topic, with the age of the copy. */
export class TopicMirror {
  private readonly recordsByKey = new Map<string, KeyedRecord>();
  /** Removals among the records, oldest first. */
  private readonly tombstones = new Map<string, KeyedRecord>();
  private readonly updateListeners: Listener[] = [];
  private readonly freshnessListeners: Array<() => void> = [];
  private nextPosition = 0;
  /** Position below which tombstones may have been evicted. */
  private tombstoneHorizon = 0;
  private loaded = false;
  private confirmedAt = -Infinity;
  private lastOutageEnd = -Infinity;

  constructor(readonly topic: Topic) {}

  /** The next position to read from. */
  get next(): number {
    return this.nextPosition;
  }

  /** Whether the mirror was loaded; before that nothing is known about the topic. */
  get isLoaded(): boolean {
    return this.loaded;
  }

  /** Time on this host's clock as of which the mirror is known to be complete. */
  get freshAsOf(): number {
    return this.confirmedAt;
  }

  /** When the mirror became current again after the store's last outage; -Infinity if there was none. */
  get outageEndedAt(): number {
    return this.lastOutageEnd;
  }

  /** Whether freshness was last confirmed so long ago that the store counts as unavailable. */
  isStaleAt(now: number): boolean {
    return now - this.confirmedAt > OUTAGE_THRESHOLD_MS;
  }

  /** Calls the listener on each change of the mirror. */
  onUpdate(listener: Listener): void {
    this.updateListeners.push(listener);
  }

  /** Calls the listener whenever the mirror is confirmed complete as of a later time. */
  onFreshnessConfirmed(listener: () => void): void {
    this.freshnessListeners.push(listener);
  }

  /** The newest record of a key; a record without a value is a tombstone. */
  get(key: string): KeyedRecord | undefined {
    return this.recordsByKey.get(key);
  }

  /** The records of all keys that are not removed. */
  listLive(): KeyedRecord[] {
    return [...this.recordsByKey.values()].filter(
      record => record.value !== undefined,
    );
  }

  /** Number of records in memory, including tombstones. */
  get size(): number {
    return this.recordsByKey.size;
  }

  /** The records that a mirror which ends at this position lacks. */
  changesSince(position: number): TopicDelta {
    // Tombstones that the other mirror lacks may have been evicted here, so it gets a full replacement.
    if (position < this.tombstoneHorizon)
      return {records: this.listLive(), isReplacement: true};
    const records = [...this.recordsByKey.values()].filter(
      record => record.offset >= position,
    );
    return {records, isReplacement: false};
  }

  /** Replaces the mirror by a full read; `asOf` is when the first page was requested. */
  load(page: TopicPage, asOf: number): void {
    const kept = new Set(page.records.map(record => record.key));
    const missing = [...this.recordsByKey.values()]
      .filter(record => record.value !== undefined)
      .filter(record => !kept.has(record.key) && record.offset < page.next);
    const removals = missing.map(({key}) => ({key, offset: page.next - 1}));
    this.loaded = true;
    this.applyRecords([...removals, ...page.records], page.next, true);
    this.confirmFreshness(asOf);
  }

  /** Applies records read from the current position; `asOf` is when the call was sent. */
  extend(page: TopicPage, asOf: number): void {
    this.applyRecords(page.records, page.next, false);
    if (page.isWhole) this.confirmFreshness(asOf);
  }

  /** Records that the mirror was complete at `asOf`. */
  confirmFreshness(asOf: number): void {
    if (!this.loaded || asOf <= this.confirmedAt) return;
    if (
      Number.isFinite(this.confirmedAt) &&
      asOf - this.confirmedAt > OUTAGE_THRESHOLD_MS
    )
      this.lastOutageEnd = asOf;
    this.confirmedAt = asOf;
    for (const listener of this.freshnessListeners) listener();
  }

  private applyRecords(
    records: readonly KeyedRecord[],
    next: number,
    isReload: boolean,
  ): void {
    const changed = records.filter(record => this.isNewer(record));
    for (const record of changed) this.setRecord(record);
    this.evictTombstones();
    this.nextPosition = Math.max(this.nextPosition, next);
    if (changed.length === 0 && !isReload) return;
    for (const listener of this.updateListeners) listener({changed, isReload});
  }

  private setRecord(record: KeyedRecord): void {
    this.recordsByKey.set(record.key, record);
    this.tombstones.delete(record.key);
    if (record.value === undefined) this.tombstones.set(record.key, record);
  }

  private evictTombstones(): void {
    for (const [key, {offset}] of this.tombstones) {
      if (this.tombstones.size <= MAX_TOMBSTONES) return;
      this.tombstones.delete(key);
      this.recordsByKey.delete(key);
      this.tombstoneHorizon = Math.max(this.tombstoneHorizon, offset + 1);
    }
  }

  private isNewer(record: KeyedRecord): boolean {
    const known = this.recordsByKey.get(record.key);
    // An unknown key below the horizon may be one whose tombstone was evicted.
    if (known === undefined) return record.offset >= this.tombstoneHorizon;
    return known.offset < record.offset;
  }
}
