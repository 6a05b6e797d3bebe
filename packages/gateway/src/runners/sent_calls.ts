import type {Clock} from '@bayspool/kernel';
import type {HostShare} from './host_share.js';

interface Options {
  readonly clock: Clock;
  /** How long a call is kept, in ms; at least the length of the longest window. */
  readonly retentionMs: number;
}

/** Sliding-window log of the calls that this host sent to each runner, by runner id. */
export class SentCalls {
  private readonly times = new Map<string, number[]>();

  constructor(private readonly options: Options) {}

  /** Adds a call that is sent now. */
  add(id: string): void {
    const {clock, retentionMs} = this.options;
    const now = clock.now();
    const times = this.times.get(id) ?? [];
    this.times.set(id, times);
    let expired = 0;
    while (expired < times.length && now - times[expired] >= retentionMs)
      expired += 1;
    if (expired > 0) times.splice(0, expired);
    times.push(now);
  }

  /** Counts the calls sent within the last `windowMs`. */
  countWithin(id: string, windowMs: number): number {
    const times = this.times.get(id) ?? [];
    const from = this.options.clock.now() - windowMs;
    let count = 0;
    while (count < times.length && times[times.length - 1 - count] > from)
      count += 1;
    return count;
  }

  /** Time until a share allows the next call, in ms; 0 if it does now, Infinity if it allows none. */
  computeWaitMs(
    id: string,
    {calls, windowMs, minIntervalMs, reopensInMs = Infinity}: HostShare,
  ): number {
    if (calls < 1) return reopensInMs;
    const times = this.times.get(id) ?? [];
    // The oldest call that still counts if the window is full.
    const oldest = times[times.length - calls] ?? -Infinity;
    const last = times[times.length - 1] ?? -Infinity;
    const freeAt = Math.max(oldest + windowMs, last + minIntervalMs);
    return Math.max(0, freeAt - this.options.clock.now());
  }

  /** Removes a runner that is gone. */
  removeRunner(id: string): void {
    this.times.delete(id);
  }
}
