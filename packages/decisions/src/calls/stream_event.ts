/** One whole event of an event stream. */
export interface StreamEvent {
  /** As received, with the empty line that ends it. */
  readonly bytes: Buffer;
  /** The number in its `id` field, if it has one. */
  readonly id?: number;
}
