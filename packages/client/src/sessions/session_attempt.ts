/** A runner chosen for a call of a session, and its version; a call that is tried again has several. */
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
  /** What decided on the version; a question mark if the line does not tell. */
  readonly reason: string;
  /** The version that the host remembered of the session; undefined if it did not know it. */
  readonly remembered?: string;
}
