/** A runner's answer that was received whole. */
export interface BufferedResponse {
  readonly status: number;
  readonly statusText: string;
  /** Names and values by turns, with the body's length. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  /** Whether its end was told by the connection's end alone; the caller is told of it likewise. */
  readonly isCloseDelimited: boolean;
}
