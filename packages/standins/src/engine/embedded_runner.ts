import type {
  CacheEvent,
  GenerateEvent,
  GenerateRequest,
  RunnerOrder,
  Runner,
  RunnerReport,
} from '@bayspool/decisions';
import type {Engine} from './engine.js';

interface Options {
  readonly id: string;
  readonly place: string;
  readonly engine: Engine;
}

/** A stand-in engine inside the daemon's process. */
export class EmbeddedRunner implements Runner {
  readonly id: string;
  readonly place: string;

  constructor(private readonly options: Options) {
    this.id = options.id;
    this.place = options.place;
  }

  generate(
    request: GenerateRequest,
    signal: AbortSignal,
  ): AsyncIterable<GenerateEvent> {
    return this.options.engine.generate(request, signal);
  }

  async fetchReport(): Promise<RunnerReport> {
    return this.options.engine.report();
  }

  async fetchCacheEvents(after: number): Promise<CacheEvent[]> {
    return this.options.engine.cacheEvents(after);
  }

  async sendOrder(order: RunnerOrder): Promise<void> {
    this.options.engine.order(order);
  }
}
