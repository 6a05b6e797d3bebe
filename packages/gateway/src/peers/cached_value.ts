import type {Clock} from '@bayspool/kernel';

interface Options<Value> {
  readonly clock: Clock;
  /** How long the value is reused before it is computed again, in ms. */
  readonly ttlMs: number;
  readonly compute: () => Value;
}

/** Caches one value that is costly to compute, until it expires or is cleared. */
export class CachedValue<Value> {
  private cached: {readonly value: Value; readonly at: number} | undefined;

  constructor(private readonly options: Options<Value>) {}

  /** Returns the value, computed at most `ttlMs` ago. */
  get(): Value {
    const {clock, ttlMs, compute} = this.options;
    const now = clock.now();
    if (this.cached && now - this.cached.at < ttlMs) return this.cached.value;
    const value = compute();
    this.cached = {value, at: now};
    return value;
  }

  /** Has the value computed again when it is next read. */
  clear(): void {
    this.cached = undefined;
  }
}
