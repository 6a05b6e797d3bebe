import type {Clock} from '@bayspool/kernel';
import type {HostShare} from './host_share.js';

interface Options {
  readonly clock: Clock;
  /** How long a call is remembered, in ms: no window is longer. */
  readonly retentionMs: number;
}

/** When this host sent calls to each runner, by the runner's id. */
export class SentCalls {
  private readonly times = new Map<string, number[]>();

  constructor(private readonly options: Options) {}

  /** Notes a call that is sent now. */
  add(id: string): void {
    const {clock, retentionMs: keptMs} = this.options;
    const now = clock.now();
    const times = this.times.get(id) ?? [];
    this.times.set(id, times);
    let old = 0;
    while (old < times.length && now - times[old] >= keptMs) old += 1;
    if (old > 0) times.splice(0, old);
    times.push(now);
  }

  /** Calls sent in the last window. */
  countWithin(id: string, windowMs: number): number {
    const times = this.times.get(id) ?? [];
    const from = this.options.clock.now() - windowMs;
    let count = 0;
    while (count < times.length && times[times.length - 1 - count] > from)
      count += 1;
    return count;
  }

  /** Time until a share has room for a call, in ms; 0 if it has now, Infinity if it has none at all. */
  computeWaitMs(
    id: string,
    {calls, windowMs, minIntervalMs: gapMs}: HostShare,
  ): number {
    if (calls < 1) return Infinity;
    const times = this.times.get(id) ?? [];
    // As many calls back as fit into a window.
    const first = times[times.length - calls] ?? -Infinity;
    const last = times[times.length - 1] ?? -Infinity;
    const freeAt = Math.max(first + windowMs, last + gapMs);
    return Math.max(0, freeAt - this.options.clock.now());
  }

  /** Forgets a runner that is gone. */
  removeRunner(id: string): void {
    this.times.delete(id);
  }
}
