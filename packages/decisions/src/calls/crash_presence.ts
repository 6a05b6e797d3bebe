import {CrashSource} from './crash_source.js';
import type {RunnerCrash} from './runner_crash.js';

interface NotedCrash {
  /** When the first host noted it, on this host's clock. */
  readonly at: number;
  readonly isConfirmed: boolean;
  /** Whether this host noted it by itself, not from another one. */
  readonly isOwn: boolean;
  /** Whether it no longer counts; it is remembered because other hosts still gossip it. */
  readonly isDiscounted: boolean;
}

/** Maximum number of crashes that are noted; the oldest are forgotten first. */
const MAX_CRASHES = 16;

/** The crashes of runners that had a request, by the start of the runner, whether the request ran or only waited. */
export class CrashPresence {
  private readonly noted = new Map<number, NotedCrash>();

  /** When the crashes that count were noted, on this host's clock. */
  get times(): readonly number[] {
    return this.counted.map(([, {at}]) => at);
  }

  /** What to tell other hosts of the confirmed crashes that count. */
  reportConfirmed(now: number): readonly RunnerCrash[] {
    const confirmed = this.counted.filter(([, {isConfirmed}]) => isConfirmed);
    return toReports(confirmed, now);
  }

  /** What to tell other hosts of the crashes that this host noted by itself, and that are not confirmed. */
  reportUnconfirmed(now: number): readonly RunnerCrash[] {
    const own = this.counted.filter(
      ([, {isConfirmed, isOwn}]) => isOwn && !isConfirmed,
    );
    return toReports(own, now);
  }

  /** Whether the crash of a runner start is remembered. */
  has(start: number): boolean {
    return this.noted.has(start);
  }

  /** When the crash of a runner start was noted, on this host's clock; undefined if it was not. */
  timeOf(start: number): number | undefined {
    return this.noted.get(start)?.at;
  }

  /** Whether no crash is remembered. */
  get isEmpty(): boolean {
    return this.noted.size === 0;
  }

  /**
   * Notes a crash.
   *
   * @param crashedAt when the first host noted it, on this host's clock
   * @returns whether there is something to tell other hosts: a crash that is confirmed for the first time
   */
  note(start: number, crashedAt: number, source: CrashSource): boolean {
    const isConfirmed = source === CrashSource.CONFIRMED;
    const isOwn = source === CrashSource.OWN;
    const known = this.noted.get(start);
    if (known && (known.isConfirmed || !isConfirmed)) return false;
    const {at = crashedAt, isDiscounted = false} = known ?? {};
    this.noted.set(start, {at, isConfirmed, isOwn, isDiscounted});
    if (this.noted.size > MAX_CRASHES)
      this.noted.delete([...this.noted.keys()][0]);
    return isConfirmed && !isDiscounted;
  }

  /** Discounts the crash of one runner start, which is forgotten if it is not confirmed. */
  discount(start: number): void {
    const known = this.noted.get(start);
    if (!known) return;
    if (known.isConfirmed)
      this.noted.set(start, {...known, isDiscounted: true});
    else this.noted.delete(start);
  }

  /** Discounts all crashes noted so far. */
  discountAll(): void {
    for (const start of [...this.noted.keys()]) this.discount(start);
  }

  /** Forgets crashes noted before a time, and those that are not confirmed though they were noted before another one. */
  forgetBefore(time: number, unconfirmedTime: number): void {
    for (const [start, {at, isConfirmed}] of [...this.noted])
      if (at < (isConfirmed ? time : unconfirmedTime)) this.noted.delete(start);
  }

  private get counted(): ReadonlyArray<readonly [number, NotedCrash]> {
    return [...this.noted].filter(([, {isDiscounted}]) => !isDiscounted);
  }
}

function toReports(
  noted: ReadonlyArray<readonly [number, NotedCrash]>,
  now: number,
): readonly RunnerCrash[] {
  return noted.map(([start, {at}]) => ({
    start,
    weight: 0,
    ageMs: Math.round(now - at),
  }));
}
