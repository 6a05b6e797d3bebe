import type {Clock} from '@bayspool/kernel';

/** How a stand-in engine behaves. Times are in ms. */
export interface EngineOptions {
  readonly clock: Clock;
  readonly id: string;
  /** Versions loaded at the start. */
  readonly versions: readonly string[];
  readonly versionSlots?: number;
  /** Requests generated at once; more wait, by priority. */
  readonly slots?: number;
  /** Requests that may wait; more are refused before any work. */
  readonly waitingMost?: number;
  /** Time of one step of the batch, with one request in it. */
  readonly stepMs?: number;
  /** What each further request in the batch adds to a step. */
  readonly crowdMs?: number;
  /** Time to process a thousand prompt tokens that are not cached. */
  readonly prefillMs?: number;
  /** Prefixes that the cache holds. */
  readonly cacheMost?: number;
  /** How late load is published. */
  readonly reportLagMs?: number;
  /** Every how many cache events one is lost; 0 loses none. */
  readonly loseEvery?: number;
  readonly loadMs?: number;
  /** Whether it refuses orders with an old fencing token. */
  readonly checksOrders?: boolean;
  /** Tokens of an answer whose request names no bound. */
  readonly answerTokens?: number;
}
