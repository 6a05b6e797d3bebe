import type {PresentRequests} from './present_requests.js';
import type {RunnerCrash} from './runner_crash.js';

/** Gossip between hosts about requests that were present at runner crashes. */
export interface QuarantineDigest {
  /** Crashes by the fingerprint of a request that the runner had. */
  readonly ends: Readonly<Record<string, readonly RunnerCrash[]>>;
  /** The requests that runners had when they ended, by the start of the runner; hosts of an earlier version tell none. */
  readonly present?: Readonly<Record<string, PresentRequests>>;
  /** Fingerprints of suspect requests that have been answered successfully since. */
  readonly answered: readonly string[];
}
