import type {RunnerCrash} from './runner_crash.js';

/** What hosts tell each other of requests under which runners ended. */
export interface QuarantineDigest {
  /** Ends of runners by the fingerprint of a request that they had. */
  readonly ends: Readonly<Record<string, readonly RunnerCrash[]>>;
  /** Fingerprints of such requests that were answered well since. */
  readonly answered: readonly string[];
}
