/** A record of a topic in which the newest record of each key counts. */
export interface KeyedRecord {
  readonly key: string;
  /** Absent when the record removes the key. */
  readonly value?: string;
  /** Position in the topic. */
  readonly offset: number;
}
