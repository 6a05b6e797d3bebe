import type {Clock} from '@bayspool/kernel';
import type {CacheEvent} from '../platform/cache_event.js';

interface Options {
  readonly clock: Clock;
  /** A prefix not heard of for this long is forgotten, in ms. */
  readonly maxAgeMs: number;
  /** How many prefixes are kept; the oldest go first. */
  readonly most: number;
}

/** What is believed to be in one engine's prefix cache. A hint: a gap in the events forgets everything. */
export class RunnerPrefixCache {
  private readonly storedAtByPrefix = new Map<string, number>();
  private lastPosition = 0;

  constructor(private readonly options: Options) {}

  /** The position after which the next events are wanted. */
  get position(): number {
    return this.lastPosition;
  }

  get size(): number {
    return this.storedAtByPrefix.size;
  }

  applyEvents(events: readonly CacheEvent[]): void {
    for (const event of events) {
      if (event.position <= this.lastPosition) continue;
      if (event.position !== this.lastPosition + 1)
        this.storedAtByPrefix.clear();
      this.lastPosition = event.position;
      if (event.kind === 'evicted') this.storedAtByPrefix.delete(event.prefix);
      else this.store(event.prefix);
    }
  }

  /** Forgets everything, such as when the engine was restarted. */
  reset(): void {
    this.storedAtByPrefix.clear();
    this.lastPosition = 0;
  }

  /** How many prefixes of the chain are cached, counted from the shortest. */
  countCached(chain: readonly string[]): number {
    const oldest = this.options.clock.now() - this.options.maxAgeMs;
    for (let length = chain.length; length > 0; length--) {
      const storedAt = this.storedAtByPrefix.get(chain[length - 1]);
      if (storedAt !== undefined && storedAt >= oldest) return length;
    }
    return 0;
  }

  /** Notes a prefix that this host has just sent to the engine. */
  recordSent(chain: readonly string[]): void {
    chain.forEach(prefix => this.store(prefix));
  }

  private store(prefix: string): void {
    this.storedAtByPrefix.delete(prefix);
    this.storedAtByPrefix.set(prefix, this.options.clock.now());
    if (this.storedAtByPrefix.size > this.options.most)
      this.storedAtByPrefix.delete(this.storedAtByPrefix.keys().next().value!);
  }
}
