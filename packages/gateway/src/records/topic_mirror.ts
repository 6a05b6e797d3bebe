import type {KeyedRecord} from './keyed_record.js';
import type {MirrorUpdate} from './mirror_update.js';
import type {Topic} from './topic.js';
import type {TopicNews} from './topic_news.js';
import type {TopicPage} from './topic_page.js';

type Listener = (update: MirrorUpdate) => void;

/**
 * Time without proof after which the store counts as having been away, in ms: over the time between
 * two proofs in normal running (a waiting read of a second, passed on by a host that answers 40 others), and under the three missed heartbeats after which entries lapse.
 */
const GAP_MS = 3_000;

/**
 * Removals that a copy remembers, for other hosts' copies: at 1,200 runners that are each replaced a few
 * times a day, hours of them.
 */
const MAX_REMOVALS = 500;

/** A host's copy of the newest record of each key of a topic, and how old that knowledge is. */
export class TopicMirror {
  private readonly records = new Map<string, KeyedRecord>();
  /** The removals among them, the oldest first. */
  private readonly removals = new Map<string, KeyedRecord>();
  private readonly listeners: Listener[] = [];
  private readonly proofListeners: Array<() => void> = [];
  private position = 0;
  /** Position up to which removals were forgotten. */
  private horizon = 0;
  private loaded = false;
  private proof = -Infinity;
  private gapEnd = -Infinity;

  constructor(readonly topic: Topic) {}

  /** The next position to read from. */
  get next(): number {
    return this.position;
  }

  /** Whether there is a copy; before the first one nothing is known of the topic. */
  get isLoaded(): boolean {
    return this.loaded;
  }

  /** Time on this host's clock up to which the copy is known to be whole. */
  get provenAt(): number {
    return this.proof;
  }

  /** When knowledge became current again after the last outage of the store; -Infinity if never. */
  get gapEndedAt(): number {
    return this.gapEnd;
  }

  /** Whether the copy has gone without proof for so long that the store counts as away. */
  isStaleAt(now: number): boolean {
    return now - this.proof > GAP_MS;
  }

  /** Tells the listener of each change of the copy. */
  onUpdate(listener: Listener): void {
    this.listeners.push(listener);
  }

  /** Told whenever the copy is known to be whole as of a later time. */
  onProof(listener: () => void): void {
    this.proofListeners.push(listener);
  }

  /** The newest record of a key; one without a value is a removal. */
  get(key: string): KeyedRecord | undefined {
    return this.records.get(key);
  }

  /** The records that are not removed. */
  live(): KeyedRecord[] {
    return [...this.records.values()].filter(
      record => record.value !== undefined,
    );
  }

  /** Records in memory, remembered removals included. */
  get size(): number {
    return this.records.size;
  }

  /** What another host's copy lacks that goes up to a position. */
  newsSince(position: number): TopicNews {
    // Removals that it lacks may be forgotten here: it gets all that there is instead.
    if (position < this.horizon)
      return {records: this.live(), isReplacement: true};
    const records = [...this.records.values()].filter(
      record => record.offset >= position,
    );
    return {records, isReplacement: false};
  }

  /** Replaces the copy by newest records; `asOf` is when the first page was asked for. */
  load(page: TopicPage, asOf: number): void {
    const kept = new Set(page.records.map(record => record.key));
    const missing = [...this.records.values()]
      .filter(record => record.value !== undefined)
      .filter(record => !kept.has(record.key) && record.offset < page.next);
    const removals = missing.map(({key}) => ({key, offset: page.next - 1}));
    this.loaded = true;
    this.take([...removals, ...page.records], page.next, true);
    this.prove(asOf);
  }

  /** Adds records read behind the position; `asOf` is when the call was sent. */
  extend(page: TopicPage, asOf: number): void {
    this.take(page.records, page.next, false);
    if (page.isWhole) this.prove(asOf);
  }

  /** Notes that the copy was whole at `asOf`. */
  prove(asOf: number): void {
    if (!this.loaded || asOf <= this.proof) return;
    if (Number.isFinite(this.proof) && asOf - this.proof > GAP_MS)
      this.gapEnd = asOf;
    this.proof = asOf;
    for (const listener of this.proofListeners) listener();
  }

  private take(
    records: readonly KeyedRecord[],
    next: number,
    isReload: boolean,
  ): void {
    const changed = records.filter(record => this.isNews(record));
    for (const record of changed) this.put(record);
    this.forgetRemovals();
    this.position = Math.max(this.position, next);
    if (changed.length === 0 && !isReload) return;
    for (const listener of this.listeners) listener({changed, isReload});
  }

  private put(record: KeyedRecord): void {
    this.records.set(record.key, record);
    this.removals.delete(record.key);
    if (record.value === undefined) this.removals.set(record.key, record);
  }

  private forgetRemovals(): void {
    for (const [key, {offset}] of this.removals) {
      if (this.removals.size <= MAX_REMOVALS) return;
      this.removals.delete(key);
      this.records.delete(key);
      this.horizon = Math.max(this.horizon, offset + 1);
    }
  }

  private isNews(record: KeyedRecord): boolean {
    const known = this.records.get(record.key);
    // A key that is not known below the horizon may be one whose removal was forgotten.
    if (known === undefined) return record.offset >= this.horizon;
    return known.offset < record.offset;
  }
}
