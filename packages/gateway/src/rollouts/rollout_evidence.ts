import type {VersionOutcomes} from '@bayspool/decisions/calls';
import type {AnswerTimes} from './answer_times.js';
import {Baseline} from './baseline.js';
import type {CellTally} from './cell_tally.js';

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
const SLOW_FIRST_FACTOR = 2.5;
/** Delays that are not worth counting as slow, in ms: a caller hardly notices them. */
const MIN_SLOW_FIRST_EXCESS_MS = 60;
/** How many times the old version's time between two events is slow: it hardly differs between answers. */
const SLOW_EVENT_FACTOR = 2;
/** Times between two events that are not worth counting as slow, in ms. */
const MIN_SLOW_EVENT_MS = 30;
/** All answers to prompts are compared together, since what is expected of each goes by its length. */
const PROMPTS_BASELINE = 'prompts';

/** What this host saw of the two versions of a roll-out, by route and model. */
export class RolloutEvidence {
  readonly fresh = new Map<string, CellTally>();
  readonly old = new Map<string, CellTally>();
  /** Attempts at the new version so far, and at the others. */
  readonly sent = {fresh: 0, old: 0};
  private readonly firstByteBaselines = new Map<string, Baseline>();
  private readonly eventBaselines = new Map<string, Baseline>();
  private readonly awaitedAttempts = new Set<AwaitedAttempt>();

  /** Counts an attempt that begins: what a version got is known before it answers. */
  recordSent(isFresh: boolean): void {
    this.sent[isFresh ? 'fresh' : 'old'] += 1;
  }

  /**
   * Watches an attempt until it ends: a slow version would tell on itself last, since its answers are the last to come.
   *
   * @returns what is to be called at its end
   */
  trackAttempt(attempt: AwaitedAttempt): () => void {
    this.awaitedAttempts.add(attempt);
    return () => this.awaitedAttempts.delete(attempt);
  }

  /** Counts an attempt that tells of its version. */
  recordEnded(
    cellName: string,
    isFresh: boolean,
    hasFailed: boolean,
    times: AnswerTimes,
  ): void {
    const cell = this.getOrCreateTally(cellName, isFresh);
    cell.ended += 1;
    if (hasFailed) cell.failed += 1;
    if (this.isSlow(cellName, times)) cell.slow += 1;
    if (!isFresh) this.updateBaselines(cellName, times);
  }

  /** Counts an attempt that its caller or a time limit ended, if it had been awaited for so long that it was slow. */
  recordUnanswered(
    cellName: string,
    isFresh: boolean,
    times: AnswerTimes,
  ): void {
    if (!this.isSlow(cellName, times)) return;
    const cell = this.getOrCreateTally(cellName, isFresh);
    cell.ended += 1;
    cell.slow += 1;
  }

  /** Attempts of a version that are awaited now for so long that they are slow already, by cell. */
  countOverdue(isFresh: boolean): Map<string, number> {
    const counts = new Map<string, number>();
    for (const attempt of this.awaitedAttempts) {
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
    const usual = this.firstByteBaselines.get(
      getBaselineKey(cellName, times),
    )?.mean;
    const usualEventMs = this.eventBaselines.get(cellName)?.mean;
    const isLate =
      usual !== undefined &&
      firstMs - expectedMs > MIN_SLOW_FIRST_EXCESS_MS &&
      computeRelativeDelay(firstMs, expectedMs) > usual * SLOW_FIRST_FACTOR;
    const isDragging =
      usualEventMs !== undefined &&
      eventMs > Math.max(MIN_SLOW_EVENT_MS, usualEventMs * SLOW_EVENT_FACTOR);
    return isLate || isDragging;
  }

  private updateBaselines(cellName: string, times: AnswerTimes): void {
    const {firstMs, eventMs, expectedMs} = times;
    if (firstMs !== undefined) {
      const name = getBaselineKey(cellName, times);
      getOrCreateBaseline(this.firstByteBaselines, name).observe(
        computeRelativeDelay(firstMs, expectedMs),
      );
    }
    if (eventMs !== undefined)
      getOrCreateBaseline(this.eventBaselines, cellName).observe(eventMs);
  }

  private getOrCreateTally(name: string, isFresh: boolean): CellTally {
    const cells = isFresh ? this.fresh : this.old;
    const known = cells.get(name);
    if (known) return known;
    const cell: CellTally & VersionOutcomes = {ended: 0, failed: 0, slow: 0};
    cells.set(name, cell);
    return cell;
  }
}

/** How many times longer than expected a first byte took. */
function computeRelativeDelay(firstMs: number, expectedMs: number): number {
  return firstMs / Math.max(MIN_EXPECTED_MS, expectedMs);
}

function getBaselineKey(cellName: string, {expectedMs}: AnswerTimes): string {
  return expectedMs > 0 ? PROMPTS_BASELINE : cellName;
}

function getOrCreateBaseline(
  baselines: Map<string, Baseline>,
  name: string,
): Baseline {
  const known = baselines.get(name);
  if (known) return known;
  const baseline = new Baseline();
  baselines.set(name, baseline);
  return baseline;
}
