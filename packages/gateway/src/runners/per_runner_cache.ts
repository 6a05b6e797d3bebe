import type {Clock} from '@bayspool/kernel';
import type {Runner} from './runner.js';

interface Options<Value> {
  readonly clock: Clock;
  /** How long values are cached before they are computed again, in ms. */
  readonly ttlMs: number;
  readonly compute: (runner: Runner) => Value;
}

/** Caches a value per runner that is costly to compute and seldom changes; all values expire together. */
export class PerRunnerCache<Value> {
  private readonly values = new Map<string, Value>();
  private filledAt = -Infinity;

  constructor(private readonly options: Options<Value>) {}

  /** Returns the value of a runner, computed at most `ttlMs` ago. */
  get(runner: Runner): Value {
    const {clock, ttlMs, compute} = this.options;
    const now = clock.now();
    if (now - this.filledAt > ttlMs) {
      this.values.clear();
      this.filledAt = now;
    }
    const {id} = runner.entry;
    const cached = this.values.get(id);
    if (cached !== undefined) return cached;
    const value = compute(runner);
    this.values.set(id, value);
    return value;
  }
}
