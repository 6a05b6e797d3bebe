/** The head of a streamed answer, which goes to the caller before its first event. */
export interface ResponseHead {
  readonly status: number;
  readonly statusText: string;
  /** Names and values by turns. */
  readonly headers: readonly string[];
  /** Whether its end is told by the connection's end alone. */
  readonly isCloseDelimited: boolean;
}
