import type {RunnerCrash} from './runner_crash.js';

/** Gossip between hosts about requests that were present at runner crashes. */
export interface QuarantineDigest {
  /** Crashes by the fingerprint of a request that the runner had. */
  readonly ends: Readonly<Record<string, readonly RunnerCrash[]>>;
  /** Crashes that could not be confirmed, by the fingerprint of a request; hosts of an earlier version send none. */
  readonly unconfirmed?: Readonly<Record<string, readonly RunnerCrash[]>>;
  /** Fingerprints of suspect requests that have been answered successfully since. */
  readonly answered: readonly string[];
}
