import type {CacheEvent} from '@bayspool/decisions';

interface Options {
  readonly most: number;
  /** Every how many events one is lost; 0 loses none. */
  readonly loseEvery: number;
}

const EVENTS_KEPT = 2_000;

/** An engine's prefix cache, least recently used first out, and the events it publishes. */
export class PrefixCache {
  private readonly prefixes = new Set<string>();
  private events: CacheEvent[] = [];
  private position = 0;

  constructor(private readonly options: Options) {}

  match(chain: readonly string[]): number {
    const length = chain.findLastIndex(prefix => this.prefixes.has(prefix));
    return length + 1;
  }

  store(chain: readonly string[]): void {
    for (const prefix of chain) {
      if (!this.prefixes.delete(prefix)) this.publish('stored', prefix);
      this.prefixes.add(prefix);
    }
    while (this.prefixes.size > this.options.most) {
      const oldest = this.prefixes.values().next().value!;
      this.prefixes.delete(oldest);
      this.publish('evicted', oldest);
    }
  }

  eventsAfter(position: number): CacheEvent[] {
    return this.events.filter(event => event.position > position);
  }

  private publish(kind: CacheEvent['kind'], prefix: string): void {
    this.position++;
    const {loseEvery} = this.options;
    if (loseEvery > 0 && this.position % loseEvery === 0) return;
    this.events.push({position: this.position, kind, prefix});
    if (this.events.length > EVENTS_KEPT)
      this.events = this.events.slice(-EVENTS_KEPT / 2);
  }
}
