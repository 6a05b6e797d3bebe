import type {RunnerCrash} from './runner_crash.js';

interface RecordedCrash extends RunnerCrash {
  /** When this host first learned of the crash, on its clock. */
  readonly notedAt: number;
}

/**
 * Maximum number of crashes kept for a request: more than are needed if every one of them is
 * uncertain.
 */
const MAX_CRASHES = 16;

/** A request that was in flight at runners when they crashed. */
export class SuspectRequest {
  /** When the request was quarantined, on this host's clock; undefined if it is not quarantined. */
  quarantinedAt: number | undefined;
  /** When a crash was last added or reweighed; the request is gossiped for some time after that. */
  changedAt = -Infinity;
  private readonly recorded = new Map<number, RecordedCrash>();
  /** Crashes that no longer count; they are remembered because other hosts still gossip them. */
  private readonly discounted = new Set<number>();

  constructor(readonly fingerprint: string) {}

  /** The crashes that count, without the discounted ones. */
  get crashes(): readonly RecordedCrash[] {
    return [...this.recorded.values()].filter(
      ({start}) => !this.discounted.has(start),
    );
  }

  /** Total weight of its crashes. */
  get weight(): number {
    return this.weightExcluding(new Set());
  }

  /** Total weight of its crashes without those of streams that had no head. */
  get startedWeight(): number {
    return this.crashes
      .filter(({isUnstarted}) => !isUnstarted)
      .reduce((sum, {weight}) => sum + weight, 0);
  }

  /** Whether a crash of this runner start counts because no other request was known there. */
  hasUnstartedCrash(start: number): boolean {
    return this.wasPresentAt(start) && !!this.recorded.get(start)?.isUnstarted;
  }

  /** Whether the request was present at the crash of this runner start, and the crash counts. */
  wasPresentAt(start: number): boolean {
    return this.recorded.has(start) && !this.discounted.has(start);
  }

  /**
   * Number of groups of crashes that are separated by a pause: how often the request came back.
   *
   * @param pauseMs minimum time between two groups, in ms
   */
  countEpisodes(pauseMs: number): number {
    const times = this.crashes
      .map(({notedAt}) => notedAt)
      .sort((a, b) => a - b);
    return times.filter((at, i) => i === 0 || at - times[i - 1] >= pauseMs)
      .length;
  }

  /** Time between the first and the last of its crashes, in ms; 0 without any. */
  get spanMs(): number {
    const times = this.crashes.map(({notedAt}) => notedAt);
    return times.length === 0 ? 0 : Math.max(...times) - Math.min(...times);
  }

  /** Whether the request was present at every crash of another one. */
  coversCrashesOf(other: SuspectRequest): boolean {
    const starts = new Set(this.crashes.map(({start}) => start));
    return other.crashes.every(({start}) => starts.has(start));
  }

  /** Adds a crash; of two reports of the same crash the heavier one counts. */
  addCrash({start, weight, isUnstarted}: RunnerCrash, now: number): void {
    const known = this.recorded.get(start);
    if (known && known.weight >= weight) return;
    const notedAt = known?.notedAt ?? now;
    this.recorded.set(start, {start, weight, notedAt, isUnstarted});
    this.changedAt = now;
    if (this.recorded.size > MAX_CRASHES)
      this.forget([...this.recorded.keys()][0]);
  }

  /**
   * Total weight of its crashes without those that another request explains.
   *
   * @param minWeight crashes of less weight are left out
   */
  weightExcluding(explained: ReadonlySet<number>, minWeight = 0): number {
    return this.crashes
      .filter(({start}) => !explained.has(start))
      .filter(({weight}) => weight >= minWeight)
      .reduce((sum, {weight}) => sum + weight, 0);
  }

  /** Discounts the crash of one runner start. */
  discountCrash(start: number): void {
    this.discounted.add(start);
  }

  /** Discounts all crashes recorded so far and ends the quarantine. */
  discountCrashes(): void {
    for (const start of this.recorded.keys()) this.discounted.add(start);
    this.quarantinedAt = undefined;
  }

  /**
   * Forgets crashes noted before a time.
   *
   * @returns whether any crash is left
   */
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
