import type {SessionAttempt} from './session_attempt.js';

/** Two calls of a session, one after the other, that ran on different versions. */
export interface VersionChange {
  readonly before: SessionAttempt;
  readonly after: SessionAttempt;
}
