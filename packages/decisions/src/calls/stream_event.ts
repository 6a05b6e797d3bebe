/** One complete event of an event stream. */
export interface StreamEvent {
  /** The bytes received, including the empty line that ends the event. */
  readonly bytes: Buffer;
  /** The number in its `id` field, if any. */
  readonly id?: number;
}
