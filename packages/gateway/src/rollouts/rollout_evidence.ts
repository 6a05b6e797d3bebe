import type {VersionOutcomes} from '@bayspool/decisions/calls';
import type {AnswerTimes} from './answer_times.js';
import {Baseline} from './baseline.js';
import type {TallyCell} from './tally_cell.js';

/** An attempt whose first byte is awaited. */
interface AwaitedAttempt {
  readonly cellName: string;
  readonly isFresh: boolean;
  /** Time to the first byte as it was expected, in ms. */
  readonly expectedMs: number;
  /** How long it has been awaited, in ms; undefined once the first byte came. */
  readonly waitedMs: () => number | undefined;
}

/** The least time to a first byte that is expected, in ms: a step of a loaded engine, and the way. */
const MIN_EXPECTED_MS = 30;
/** How many times the old version's delay over what was expected is slow. */
const SLOW_FIRST_TIMES = 2.5;
/** Delays that are not worth counting as slow, in ms: a caller hardly notices them. */
const MIN_SLOW_FIRST_MS = 60;
/** How many times the old version's time between two events is slow: it hardly differs between answers. */
const SLOW_EVENT_TIMES = 2;
/** Times between two events that are not worth counting as slow, in ms. */
const MIN_SLOW_EVENT_MS = 30;
/** All answers to prompts are compared together, since what is expected of each goes by its length. */
const PROMPTS = 'prompts';

/** What this host saw of the two versions of a roll-out, by route and model. */
export class RolloutEvidence {
  readonly fresh = new Map<string, TallyCell>();
  readonly old = new Map<string, TallyCell>();
  /** Attempts at the new version so far, and at the others. */
  readonly sent = {fresh: 0, old: 0};
  private readonly firsts = new Map<string, Baseline>();
  private readonly events = new Map<string, Baseline>();
  private readonly awaited = new Set<AwaitedAttempt>();

  /** Counts an attempt that begins: what a version got is known before it answers. */
  noteSent(isFresh: boolean): void {
    this.sent[isFresh ? 'fresh' : 'old'] += 1;
  }

  /**
   * Watches an attempt until it ends: a slow version would tell on itself last, since its answers are the last to come.
   *
   * @returns what is to be called at its end
   */
  watch(attempt: AwaitedAttempt): () => void {
    this.awaited.add(attempt);
    return () => this.awaited.delete(attempt);
  }

  /** Counts an attempt that tells of its version. */
  note(
    cellName: string,
    isFresh: boolean,
    hasFailed: boolean,
    times: AnswerTimes,
  ): void {
    const cell = this.cellOf(cellName, isFresh);
    cell.ended += 1;
    if (hasFailed) cell.failed += 1;
    if (this.isSlow(cellName, times)) cell.slow += 1;
    if (!isFresh) this.learn(cellName, times);
  }

  /** Counts an attempt that its caller or a time limit ended, if it had been awaited for so long that it was slow. */
  noteUnanswered(cellName: string, isFresh: boolean, times: AnswerTimes): void {
    if (!this.isSlow(cellName, times)) return;
    const cell = this.cellOf(cellName, isFresh);
    cell.ended += 1;
    cell.slow += 1;
  }

  /** Attempts of a version that are awaited now for so long that they are slow already, by cell. */
  overdue(isFresh: boolean): Map<string, number> {
    const counts = new Map<string, number>();
    for (const attempt of this.awaited) {
      if (attempt.isFresh !== isFresh) continue;
      const {cellName, expectedMs} = attempt;
      const firstMs = attempt.waitedMs();
      if (!this.isSlow(cellName, {firstMs, expectedMs})) continue;
      counts.set(cellName, (counts.get(cellName) ?? 0) + 1);
    }
    return counts;
  }

  private isSlow(cellName: string, times: AnswerTimes): boolean {
    const {firstMs = 0, eventMs = 0, expectedMs} = times;
    const usual = this.firsts.get(baselineName(cellName, times))?.mean;
    const usualEventMs = this.events.get(cellName)?.mean;
    const isLate =
      usual !== undefined &&
      firstMs - expectedMs > MIN_SLOW_FIRST_MS &&
      delayOf(firstMs, expectedMs) > usual * SLOW_FIRST_TIMES;
    const isDragging =
      usualEventMs !== undefined &&
      eventMs > Math.max(MIN_SLOW_EVENT_MS, usualEventMs * SLOW_EVENT_TIMES);
    return isLate || isDragging;
  }

  private learn(cellName: string, times: AnswerTimes): void {
    const {firstMs, eventMs, expectedMs} = times;
    if (firstMs !== undefined) {
      const name = baselineName(cellName, times);
      baselineOf(this.firsts, name).learn(delayOf(firstMs, expectedMs));
    }
    if (eventMs !== undefined) baselineOf(this.events, cellName).learn(eventMs);
  }

  private cellOf(name: string, isFresh: boolean): TallyCell {
    const cells = isFresh ? this.fresh : this.old;
    const known = cells.get(name);
    if (known) return known;
    const cell: TallyCell & VersionOutcomes = {ended: 0, failed: 0, slow: 0};
    cells.set(name, cell);
    return cell;
  }
}

/** How many times longer than expected a first byte took. */
function delayOf(firstMs: number, expectedMs: number): number {
  return firstMs / Math.max(MIN_EXPECTED_MS, expectedMs);
}

function baselineName(cellName: string, {expectedMs}: AnswerTimes): string {
  return expectedMs > 0 ? PROMPTS : cellName;
}

function baselineOf(baselines: Map<string, Baseline>, name: string): Baseline {
  const known = baselines.get(name);
  if (known) return known;
  const baseline = new Baseline();
  baselines.set(name, baseline);
  return baseline;
}
