/** An answer that was received whole. */
export interface ReceivedAnswer {
  readonly status: number;
  readonly body: Buffer;
}
