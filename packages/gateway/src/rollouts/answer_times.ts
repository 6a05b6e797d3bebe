/** How long an answer took, in ms, as far as it came. */
export interface AnswerTimes {
  /** To the first byte. */
  readonly firstMs?: number;
  /** To the first byte, as it was expected by prompt, model and load; 0 where nothing tells. */
  readonly expectedMs: number;
  /** From one event to the next on average; only of answers with several events. */
  readonly eventMs?: number;
}
