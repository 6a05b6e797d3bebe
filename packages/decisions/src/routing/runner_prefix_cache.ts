import type {Clock} from '@bayspool/kernel';
import type {CacheEvent} from '../platform/cache_event.js';

interface Options {
  readonly clock: Clock;
  /** A prefix that was not refreshed for this long is ignored, in ms. */
  readonly maxAgeMs: number;
  /** Maximum number of prefixes; the oldest are evicted first. */
  readonly maxPrefixes: number;
}

/** The presumed content of one engine's prefix cache. Only a hint: a gap in the events clears it. */
export class RunnerPrefixCache {
  private readonly storedAtByPrefix = new Map<string, number>();
  private lastPosition = 0;

  constructor(private readonly options: Options) {}

  /** Position of the last applied event; the next events to fetch come after it. */
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

  /** Clears the cache, for example after the engine was restarted. */
  reset(): void {
    this.storedAtByPrefix.clear();
    this.lastPosition = 0;
  }

  /** Counts the leading prefixes of a prompt that are cached, from the shortest; see `hashPromptPrefixes`. */
  countCached(prefixes: readonly string[]): number {
    const minStoredAt = this.options.clock.now() - this.options.maxAgeMs;
    for (let length = prefixes.length; length > 0; length--) {
      const storedAt = this.storedAtByPrefix.get(prefixes[length - 1]);
      if (storedAt !== undefined && storedAt >= minStoredAt) return length;
    }
    return 0;
  }

  /** Records the prefixes of a prompt that this host just sent to the engine. */
  recordSent(prefixes: readonly string[]): void {
    prefixes.forEach(prefix => this.store(prefix));
  }

  private store(prefix: string): void {
    this.storedAtByPrefix.delete(prefix);
    this.storedAtByPrefix.set(prefix, this.options.clock.now());
    if (this.storedAtByPrefix.size > this.options.maxPrefixes)
      this.storedAtByPrefix.delete(this.storedAtByPrefix.keys().next().value!);
  }
}
