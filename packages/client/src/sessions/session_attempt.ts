/** One attempt of a call of a session: the runner's version and why it was chosen. A retried call has several. */
export interface SessionAttempt {
  readonly request: string;
  readonly session: string;
  readonly service: string;
  readonly host: string;
  /** When the call was accepted, in ms since the epoch by the host's clock. */
  readonly acceptedMs: number;
  /** When the runner was chosen, in ms since the epoch by the host's clock. */
  readonly chosenMs: number;
  readonly version: string;
  /** Why the version was chosen; a question mark if the line has no reason. */
  readonly reason: string;
  /** The version that the host had stored for the session; undefined if it had none. */
  readonly remembered?: string;
}
