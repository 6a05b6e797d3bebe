/** A record of a compacted topic: only the newest record of each key is in force. */
export interface KeyedRecord {
  readonly key: string;
  /** Absent if the record removes the key (a tombstone). */
  readonly value?: string;
  /** Position in the topic. */
  readonly offset: number;
}
