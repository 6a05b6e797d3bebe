import type {RequestTrial} from './request_trial.js';
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
  /** Whether crashes that other hosts report later may still show another cause. */
  isProvisional = false;
  /** When a crash was last added or reweighed; the request is gossiped for some time after that. */
  changedAt = -Infinity;
  /** The trial of the request that this host awaits the outcome of; undefined if there is none. */
  trial: RequestTrial | undefined;
  /** When a trial at this host last found no runner, in ms. */
  lastCancelledAt = -Infinity;
  /** Until when a trial at another host is assumed to be under way, in ms on this host's clock. */
  peerTrialUntil = -Infinity;
  /** The crashes that count; undefined until they are asked for after a change. */
  private counted: readonly RecordedCrash[] | undefined;
  private readonly recorded = new Map<number, RecordedCrash>();
  /** Crashes that no longer count; they are remembered because other hosts still gossip them. */
  private readonly discounted = new Set<number>();

  constructor(readonly fingerprint: string) {}

  /** The crashes that count, without the discounted ones. */
  get crashes(): readonly RecordedCrash[] {
    this.counted ??= [...this.recorded.values()].filter(
      ({start}) => !this.discounted.has(start),
    );
    return this.counted;
  }

  /** Number of its crashes that ended a trial. */
  get failedTrials(): number {
    return this.crashes.filter(({isTrial, weight}) => isTrial && weight > 0)
      .length;
  }

  /** When this host learned of the last of its crashes, in ms; -Infinity without any. */
  get lastCrashAt(): number {
    return Math.max(-Infinity, ...this.crashes.map(({notedAt}) => notedAt));
  }

  /** Total weight of its crashes. */
  get weight(): number {
    return this.weightExcluding(new Set());
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

  /** Whether the request was present at every crash of another one. */
  coversCrashesOf(other: SuspectRequest): boolean {
    const starts = new Set(this.crashes.map(({start}) => start));
    return other.crashes.every(({start}) => starts.has(start));
  }

  /** Adds a crash; of two reports of the same crash the heavier one counts, and whether any was of a trial. */
  addCrash(crash: RunnerCrash, now: number): void {
    const {start} = crash;
    const known = this.recorded.get(start);
    const weight = Math.max(crash.weight, known?.weight ?? 0);
    const isTrial = crash.isTrial || known?.isTrial || undefined;
    if (known && known.weight === weight && known.isTrial === isTrial) return;
    const notedAt = known?.notedAt ?? now;
    this.recorded.set(start, {start, weight, isTrial, notedAt});
    this.changedAt = now;
    this.counted = undefined;
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
    this.counted = undefined;
  }

  /** Discounts all crashes recorded so far and ends the quarantine. */
  discountCrashes(): void {
    for (const start of this.recorded.keys()) this.discounted.add(start);
    this.counted = undefined;
    this.quarantinedAt = undefined;
    this.trial = undefined;
    this.peerTrialUntil = -Infinity;
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
    this.counted = undefined;
    this.recorded.delete(start);
    this.discounted.delete(start);
  }
}
