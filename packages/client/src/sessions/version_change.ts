import type {SessionAttempt} from './session_attempt.js';

/** Two consecutive calls of a session that ran on different versions. */
export interface VersionChange {
  readonly before: SessionAttempt;
  readonly after: SessionAttempt;
}
