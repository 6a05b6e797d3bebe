/** An answer submitted for rating. */
export interface RatingSample {
  readonly host: string;
  readonly requestId: string;
  readonly version: string;
  readonly task: string;
  readonly workspace: string;
  /** The answer's text. */
  readonly answer: string;
}
