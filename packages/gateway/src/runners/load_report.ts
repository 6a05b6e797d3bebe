/** What a runner said of itself with an answer. */
export interface LoadReport {
  /** Requests that it works on. */
  readonly running: number;
  /** Requests that wait: on an engine, those whose prompts are not read yet. */
  readonly waiting: number;
}
