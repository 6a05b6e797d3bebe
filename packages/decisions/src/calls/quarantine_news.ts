import type {RunnerEnd} from './runner_end.js';

/** What hosts tell each other of requests under which runners ended. */
export interface QuarantineNews {
  /** Ends of runners by the fingerprint of a request that they had. */
  readonly ends: Readonly<Record<string, readonly RunnerEnd[]>>;
  /** Fingerprints of such requests that were answered well since. */
  readonly answered: readonly string[];
}
