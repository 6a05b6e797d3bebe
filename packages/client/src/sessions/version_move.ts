import type {SessionRun} from './session_run.js';

/** Two calls of a session, one after the other, that ran on different versions. */
export interface VersionMove {
  readonly before: SessionRun;
  readonly after: SessionRun;
}
