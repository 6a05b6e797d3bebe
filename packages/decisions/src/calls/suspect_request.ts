import type {RunnerCrash} from './runner_crash.js';

interface RecordedCrash extends RunnerCrash {
  readonly notedAt: number;
}

/** Ends kept for one request: more than are needed where all leave doubt. */
const MAX_CRASHES = 16;

/** A request that was at runners when they ended. */
export class SuspectRequest {
  /** Since when it is held back, on this host's clock; undefined if it is not. */
  quarantinedAt: number | undefined;
  /** Since when its ends are to be told to other hosts. */
  changedAt = -Infinity;
  private readonly recorded = new Map<number, RecordedCrash>();
  /** Ends that count no longer; they are remembered, as other hosts go on telling them. */
  private readonly discounted = new Set<number>();

  constructor(readonly fingerprint: string) {}

  /** The ends that count. */
  get crashes(): readonly RecordedCrash[] {
    return [...this.recorded.values()].filter(
      ({start}) => !this.discounted.has(start),
    );
  }

  /** How much its ends speak against it together. */
  get weight(): number {
    return this.weightExcluding(new Set());
  }

  /** Whether it was at the end of this start of a runner, and that counts. */
  wasPresentAt(start: number): boolean {
    return this.recorded.has(start) && !this.discounted.has(start);
  }

  /**
   * How often it came back: how many groups its ends are in, each at least a pause from the one before.
   *
   * @param pauseMs the pause, in ms
   */
  countEpisodes(pauseMs: number): number {
    const times = this.crashes
      .map(({notedAt}) => notedAt)
      .sort((a, b) => a - b);
    return times.filter((at, i) => i === 0 || at - times[i - 1] >= pauseMs)
      .length;
  }

  /** Whether it was at all the ends that another one was at. */
  coversCrashesOf(other: SuspectRequest): boolean {
    const starts = new Set(this.crashes.map(({start}) => start));
    return other.crashes.every(({start}) => starts.has(start));
  }

  /** Takes in an end; of two that tell of the same one the weightier counts. */
  addCrash({start, weight}: RunnerCrash, now: number): void {
    const known = this.recorded.get(start);
    if (known && known.weight >= weight) return;
    this.recorded.set(start, {start, weight, notedAt: known?.notedAt ?? now});
    this.changedAt = now;
    if (this.recorded.size > MAX_CRASHES)
      this.forget([...this.recorded.keys()][0]);
  }

  /**
   * How much its ends speak against it together, without those that something else explains.
   *
   * @param minWeight ends of less weight are left out
   */
  weightExcluding(explained: ReadonlySet<number>, minWeight = 0): number {
    return this.crashes
      .filter(({start}) => !explained.has(start))
      .filter(({weight}) => weight >= minWeight)
      .reduce((sum, {weight}) => sum + weight, 0);
  }

  /** What is known so far counts no longer. */
  discountCrashes(): void {
    for (const start of this.recorded.keys()) this.discounted.add(start);
    this.quarantinedAt = undefined;
  }

  /** Forgets ends noted before a time. @returns whether any is left */
  forgetBefore(time: number): boolean {
    for (const {start, notedAt} of [...this.recorded.values()])
      if (notedAt < time) this.forget(start);
    return this.recorded.size > 0;
  }

  private forget(start: number): void {
    this.recorded.delete(start);
    this.discounted.delete(start);
  }
}
