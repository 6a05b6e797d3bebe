import type {CacheEvent} from './cache_event.js';
import type {GenerateEvent} from './generate_event.js';
import type {GenerateRequest} from './generate_request.js';
import type {RunnerOrder} from './runner_order.js';
import type {RunnerReport} from './runner_report.js';

/** A model engine. Calls reject with {@link RunnerFailure}, which tells whether the request may have run. */
export interface Runner {
  readonly id: string;
  readonly place: string;
  /** Generates an answer; ending the iteration early cancels the request at the engine. */
  generate(
    request: GenerateRequest,
    signal: AbortSignal,
  ): AsyncIterable<GenerateEvent>;
  /** Fetches load and loaded versions; the report may be outdated. */
  fetchReport(signal: AbortSignal): Promise<RunnerReport>;
  /** Fetches cache events after a position; a gap in the positions means that events were lost. */
  fetchCacheEvents(after: number, signal: AbortSignal): Promise<CacheEvent[]>;
  /** Sends an order. A runner that checks fencing tokens rejects it as stale when it has seen a higher token. */
  sendOrder(order: RunnerOrder, signal: AbortSignal): Promise<void>;
}
