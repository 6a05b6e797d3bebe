import type {RunnerPrefixCache} from './runner_prefix_cache.js';

/** What routing knows of one runner at the moment of a choice. */
export interface RunnerView {
  readonly id: string;
  readonly place: string;
  /** Requests that this host has there now. */
  readonly inFlight: number;
  /** Requests that this host may have there. */
  readonly limit: number;
  /** Running and waiting requests of all hosts, corrected by what this host sent and ended since. */
  readonly load: number;
  /** How many the engine runs at once. */
  readonly slots: number;
  /** Recent time for a whole answer, in ms. */
  readonly serviceMs: number;
  /** Recent time to process a thousand prompt tokens, in ms. */
  readonly prefillMs: number;
  /** The part of the full share, 0 to 1, while it starts slowly. */
  readonly share: number;
  readonly prefixes: RunnerPrefixCache;
}
