import {CrashPresence} from './crash_presence.js';
import {CrashSource} from './crash_source.js';
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
/** Time without being asked for a copy after which a host waits for its turn anew, in ms: longer than callers are told to wait for a turn. */
const ASK_PAUSE_MS = 10_000;

/** A request that was in flight at runners when they crashed. */
export class SuspectRequest {
  /** When the request was quarantined, on this host's clock; undefined if it is not quarantined. */
  quarantinedAt: number | undefined;
  /** When a crash was last added or reweighed; the request is gossiped for some time after that. */
  changedAt = -Infinity;
  /** When this host last let a copy through while the request was on probation, on its clock. */
  trialAt = -Infinity;
  /** The crashes of runners that had the request: those that count against it, and those that only show that it was there. */
  readonly presence = new CrashPresence();
  /** Whether it was on probation when a crash was last noted. */
  wasOnProbation = false;
  /** When this host was first asked for a copy since the hold ended or nobody had asked, and last, on its clock. */
  private askedSince = -Infinity;
  private askedAt = -Infinity;
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

  /** Whether crashes count of runners that had the request. */
  get hasCrashes(): boolean {
    return this.crashes.length > 0 || this.presence.times.length > 0;
  }

  /** Whether the request was present at the crash of this runner start, and the crash counts. */
  wasPresentAt(start: number): boolean {
    return this.recorded.has(start) && !this.discounted.has(start);
  }

  /**
   * Notes that this host is asked to send a copy.
   *
   * @param holdEnd until when the request is held back, on this host's clock
   * @returns since when it has been asked without a pause
   */
  noteAsked(now: number, holdEnd: number): number {
    const isFirst = this.askedSince < holdEnd;
    if (isFirst || now - this.askedAt > ASK_PAUSE_MS) this.askedSince = now;
    this.askedAt = now;
    return this.askedSince;
  }

  /** Notes a crash of a runner that had the request, which does not count against it. */
  notePresence(
    {start, ageMs = 0}: Omit<RunnerCrash, 'weight'>,
    now: number,
    source: CrashSource,
  ): void {
    const isNews = this.presence.note(start, now - ageMs, source);
    if (isNews) this.changedAt = now;
  }

  /** Whether the request was present at every crash of another one. */
  coversCrashesOf(other: SuspectRequest): boolean {
    const starts = new Set(this.crashes.map(({start}) => start));
    return other.crashes.every(({start}) => starts.has(start));
  }

  /** Adds a crash; of two reports of the same crash the heavier one counts. */
  addCrash({start, weight, ageMs = 0}: RunnerCrash, now: number): void {
    this.presence.note(start, now - ageMs, CrashSource.CONFIRMED);
    const known = this.recorded.get(start);
    if (known && known.weight >= weight) return;
    this.recorded.set(start, {start, weight, notedAt: known?.notedAt ?? now});
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
    this.presence.discount(start);
  }

  /** Discounts all crashes recorded so far and ends the quarantine. */
  discountCrashes(): void {
    for (const start of this.recorded.keys()) this.discounted.add(start);
    this.presence.discountAll();
    this.quarantinedAt = undefined;
  }

  /**
   * Forgets crashes noted before a time, and those that were not confirmed though they were noted before another one.
   *
   * @returns whether any crash is left
   */
  forgetBefore(time: number, unconfirmedTime = time): boolean {
    for (const {start, notedAt} of [...this.recorded.values()])
      if (notedAt < time) this.forget(start);
    this.presence.forgetBefore(time, unconfirmedTime);
    return this.recorded.size > 0 || !this.presence.isEmpty;
  }

  private forget(start: number): void {
    this.recorded.delete(start);
    this.discounted.delete(start);
  }
}
