/** Calls and retries of a service in the last window, at one host or several together. */
export interface RetryCounts {
  /** Calls received from callers. */
  readonly calls: number;
  readonly retries: number;
}
