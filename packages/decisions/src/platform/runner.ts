import type {CacheEvent} from './cache_event.js';
import type {GenerateEvent} from './generate_event.js';
import type {GenerateRequest} from './generate_request.js';
import type {RunnerOrder} from './runner_order.js';
import type {RunnerReport} from './runner_report.js';

/** A model engine. Failures are rejected with {@link RunnerFailure}, which tells whether work can have begun. */
export interface Runner {
  readonly id: string;
  readonly place: string;
  /** Generates an answer; ending the iteration early cancels the work at the engine. */
  generate(
    request: GenerateRequest,
    signal: AbortSignal,
  ): AsyncIterable<GenerateEvent>;
  /** Load and loaded versions, as of some time ago. */
  fetchReport(signal: AbortSignal): Promise<RunnerReport>;
  /** Cache events after a position; a gap in positions means that some were lost. */
  fetchCacheEvents(after: number, signal: AbortSignal): Promise<CacheEvent[]>;
  /** Gives an order; refused as stale when the runner checks and has seen a higher token. */
  sendOrder(order: RunnerOrder, signal: AbortSignal): Promise<void>;
}
