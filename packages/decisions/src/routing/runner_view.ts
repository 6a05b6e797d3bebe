import type {RunnerPrefixCache} from './runner_prefix_cache.js';

/** A runner's state at the time of a routing decision. */
export interface RunnerView {
  readonly id: string;
  readonly place: string;
  /** This host's requests in progress at the runner. */
  readonly inFlight: number;
  /** Maximum of this host's concurrent requests at the runner. */
  readonly limit: number;
  /** Running and queued requests of all hosts as last reported, corrected by those that this host sent and finished since. */
  readonly load: number;
  /** Number of requests that the engine processes concurrently. */
  readonly slots: number;
  /** Recent duration of a complete answer, in ms. */
  readonly serviceMs: number;
  /** Recent prefill time of a thousand prompt tokens, in ms. */
  readonly prefillMs: number;
  /** Fraction of its full share, 0 to 1; below 1 during slow start. */
  readonly share: number;
  readonly prefixes: RunnerPrefixCache;
}
