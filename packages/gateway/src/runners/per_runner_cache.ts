import type {Clock} from '@bayspool/kernel';
import type {Runner} from './runner.js';

interface Options<Value> {
  readonly clock: Clock;
  /** How long values are kept before they are found anew, in ms. */
  readonly ttlMs: number;
  readonly compute: (runner: Runner) => Value;
}

/** A value for each runner that is costly to find and changes seldom: kept for a time, all together. */
export class PerRunnerCache<Value> {
  private readonly values = new Map<string, Value>();
  private filledAt = -Infinity;

  constructor(private readonly options: Options<Value>) {}

  /** The value of a runner, as it was found at most that long ago. */
  get(runner: Runner): Value {
    const {clock, ttlMs: keptMs, compute: find} = this.options;
    const now = clock.now();
    if (now - this.filledAt > keptMs) {
      this.values.clear();
      this.filledAt = now;
    }
    const {id} = runner.entry;
    const known = this.values.get(id);
    if (known !== undefined) return known;
    const value = find(runner);
    this.values.set(id, value);
    return value;
  }
}
