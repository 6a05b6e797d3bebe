/** A change in an engine's prefix cache. */
export interface CacheEvent {
  /** Sequence number; grows by one with each event of the same engine. */
  readonly position: number;
  readonly kind: 'stored' | 'evicted';
  /** Hash of a prompt prefix; see `hashPromptPrefixes`. */
  readonly prefix: string;
}
