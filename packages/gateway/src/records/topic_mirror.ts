import type {KeyedRecord} from './keyed_record.js';
import type {MirrorUpdate} from './mirror_update.js';
import type {Topic} from './topic.js';
import type {TopicDelta} from './topic_delta.js';
import type {TopicPage} from './topic_page.js';

type Listener = (update: MirrorUpdate) => void;

/**
 * Time without proof after which the store counts as having been away, in ms: over the time between
 * two proofs in normal running (a waiting read of a second, passed on by a host that answers 40 others), and under the three missed heartbeats after which entries lapse.
 */
const OUTAGE_THRESHOLD_MS = 3_000;

/**
 * Removals that a copy remembers, for other hosts' copies: at 1,200 runners that are each replaced a few
 * times a day, hours of them.
 */
const MAX_TOMBSTONES = 500;

/** A host's copy of the newest record of each key of a topic, and how old that knowledge is. */
export class TopicMirror {
  private readonly recordsByKey = new Map<string, KeyedRecord>();
  /** The removals among them, the oldest first. */
  private readonly tombstones = new Map<string, KeyedRecord>();
  private readonly updateListeners: Listener[] = [];
  private readonly freshnessListeners: Array<() => void> = [];
  private nextPosition = 0;
  /** Position up to which removals were forgotten. */
  private tombstoneHorizon = 0;
  private loaded = false;
  private confirmedAt = -Infinity;
  private lastOutageEnd = -Infinity;

  constructor(readonly topic: Topic) {}

  /** The next position to read from. */
  get next(): number {
    return this.nextPosition;
  }

  /** Whether there is a copy; before the first one nothing is known of the topic. */
  get isLoaded(): boolean {
    return this.loaded;
  }

  /** Time on this host's clock up to which the copy is known to be whole. */
  get freshAsOf(): number {
    return this.confirmedAt;
  }

  /** When knowledge became current again after the last outage of the store; -Infinity if never. */
  get outageEndedAt(): number {
    return this.lastOutageEnd;
  }

  /** Whether the copy has gone without proof for so long that the store counts as away. */
  isStaleAt(now: number): boolean {
    return now - this.confirmedAt > OUTAGE_THRESHOLD_MS;
  }

  /** Tells the listener of each change of the copy. */
  onUpdate(listener: Listener): void {
    this.updateListeners.push(listener);
  }

  /** Told whenever the copy is known to be whole as of a later time. */
  onFreshnessConfirmed(listener: () => void): void {
    this.freshnessListeners.push(listener);
  }

  /** The newest record of a key; one without a value is a removal. */
  get(key: string): KeyedRecord | undefined {
    return this.recordsByKey.get(key);
  }

  /** The records that are not removed. */
  listLive(): KeyedRecord[] {
    return [...this.recordsByKey.values()].filter(
      record => record.value !== undefined,
    );
  }

  /** Records in memory, remembered removals included. */
  get size(): number {
    return this.recordsByKey.size;
  }

  /** What another host's copy lacks that goes up to a position. */
  changesSince(position: number): TopicDelta {
    // Removals that it lacks may be forgotten here: it gets all that there is instead.
    if (position < this.tombstoneHorizon)
      return {records: this.listLive(), isReplacement: true};
    const records = [...this.recordsByKey.values()].filter(
      record => record.offset >= position,
    );
    return {records, isReplacement: false};
  }

  /** Replaces the copy by newest records; `asOf` is when the first page was asked for. */
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

  /** Adds records read behind the position; `asOf` is when the call was sent. */
  extend(page: TopicPage, asOf: number): void {
    this.applyRecords(page.records, page.next, false);
    if (page.isWhole) this.confirmFreshness(asOf);
  }

  /** Notes that the copy was whole at `asOf`. */
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
    // A key that is not known below the horizon may be one whose removal was forgotten.
    if (known === undefined) return record.offset >= this.tombstoneHorizon;
    return known.offset < record.offset;
  }
}
