import type {Clock} from '@bayspool/kernel';
import type {Runner} from './runner.js';

interface Options<Value> {
  readonly clock: Clock;
  /** How long values are kept before they are found anew, in ms. */
  readonly keptMs: number;
  readonly find: (runner: Runner) => Value;
}

/** A value for each runner that is costly to find and changes seldom: kept for a time, all together. */
export class KeptByRunner<Value> {
  private readonly values = new Map<string, Value>();
  private keptSince = -Infinity;

  constructor(private readonly options: Options<Value>) {}

  /** The value of a runner, as it was found at most that long ago. */
  of(runner: Runner): Value {
    const {clock, keptMs, find} = this.options;
    const now = clock.now();
    if (now - this.keptSince > keptMs) {
      this.values.clear();
      this.keptSince = now;
    }
    const {id} = runner.entry;
    const known = this.values.get(id);
    if (known !== undefined) return known;
    const value = find(runner);
    this.values.set(id, value);
    return value;
  }
}
