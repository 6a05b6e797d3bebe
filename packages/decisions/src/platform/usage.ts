/** Tokens that a request used. */
export interface Usage {
  readonly promptTokens: number;
  readonly completionTokens: number;
}
