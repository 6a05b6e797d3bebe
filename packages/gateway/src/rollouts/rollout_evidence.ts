import type {VersionOutcomes} from '@bayspool/decisions/calls';
import type {AnswerTimes} from './answer_times.js';
import {Baseline} from './baseline.js';
import type {CellOutcomes} from './cell_outcomes.js';
import {TimeHistogram} from './time_histogram.js';

interface Options {
  /** Returns the current part of the rollout's duration, as a number that grows; responses of one part are compared. */
  readonly currentPart?: () => number;
}

/** An attempt that waits for its first byte. */
interface AwaitedAttempt {
  readonly cellName: string;
  readonly isFresh: boolean;
  /** Expected time to the first byte, in ms. */
  readonly expectedMs: number;
  /** Returns the time waited so far, in ms; undefined once the first byte has arrived. */
  readonly waitedMs: () => number | undefined;
}

/** Lower bound for the expected time to a first byte, in ms: one step of a loaded engine plus network latency. */
const MIN_EXPECTED_MS = 30;
/** A first byte is slow if its relative delay exceeds this multiple of the old version's mean. */
const SLOW_FIRST_FACTOR = 2.5;
/** A first byte that is late by no more than this, in ms, never counts as slow: a caller hardly notices it. */
const MIN_SLOW_FIRST_EXCESS_MS = 60;
/** Events are slow if the time between them exceeds this multiple of the old version's mean, which hardly varies between responses. */
const SLOW_EVENT_FACTOR = 2;
/** A time between two events of at most this, in ms, never counts as slow. */
const MIN_SLOW_EVENT_MS = 30;
/** Key of the one baseline for all responses to prompts: their expected times already account for prompt length. */
const PROMPTS_BASELINE = 'prompts';

/**
 * Least relative time to the first byte of a response without an expected time: shorter times differ by chance and a
 * caller hardly notices it.
 */
const MIN_RELATIVE_TIME = 1;

/** Outcomes of both versions of a rollout as seen by this host, counted by cell, which is a pair of route and model. */
export class RolloutEvidence {
  readonly fresh = new Map<string, CellOutcomes>();
  readonly old = new Map<string, CellOutcomes>();
  /** Attempts sent to the new version so far, and to the others. */
  readonly sent = {fresh: 0, old: 0};
  /** Times to the first byte, relative to the expected ones, where they can be compared. */
  readonly times = {fresh: new TimeHistogram(), old: new TimeHistogram()};
  private readonly firstByteBaselines = new Map<string, Baseline>();
  private readonly eventBaselines = new Map<string, Baseline>();
  private readonly awaitedAttempts = new Set<AwaitedAttempt>();
  private readonly currentPart: () => number;

  constructor({currentPart = () => 0}: Options = {}) {
    this.currentPart = currentPart;
  }

  /** Counts an attempt when it begins, so that the count does not wait for the response. */
  recordSent(isFresh: boolean): void {
    this.sent[isFresh ? 'fresh' : 'old'] += 1;
  }

  /**
   * Tracks an attempt while it runs. If only ended attempts counted, a slow version would be detected last, as its responses
   * arrive last.
   *
   * @returns the function to call when the attempt ends
   */
  trackAttempt(attempt: AwaitedAttempt): () => void {
    this.awaitedAttempts.add(attempt);
    return () => this.awaitedAttempts.delete(attempt);
  }

  /**
   * Counts an ended attempt whose outcome says something about its version.
   *
   * @param isLost whether the attempt failed without a whole response
   */
  recordEnded(
    cellName: string,
    isFresh: boolean,
    hasFailed: boolean,
    times: AnswerTimes,
    isLost = false,
  ): void {
    const cell = this.getOrCreateOutcomes(cellName, isFresh);
    cell.ended += 1;
    if (hasFailed) cell.failed += 1;
    if (isLost) cell.lost = (cell.lost ?? 0) + 1;
    if (this.isSlow(cellName, times)) cell.slow += 1;
    if (!hasFailed) this.recordTime(cellName, isFresh, times);
    if (!isFresh) this.updateBaselines(cellName, times);
  }

  /** Counts an attempt that its caller or a time limit ended as slow if it had waited long enough; otherwise ignores it. */
  recordUnanswered(
    cellName: string,
    isFresh: boolean,
    times: AnswerTimes,
  ): void {
    if (!this.isSlow(cellName, times)) return;
    const cell = this.getOrCreateOutcomes(cellName, isFresh);
    cell.ended += 1;
    cell.slow += 1;
    this.recordTime(cellName, isFresh, times);
  }

  /** Counts the running attempts of a version that have already waited long enough to be slow, by cell. */
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

  private recordTime(
    cellName: string,
    isFresh: boolean,
    times: AnswerTimes,
  ): void {
    const {firstMs, expectedMs, isComparable = false} = times;
    if (!isComparable || firstMs === undefined) return;
    const delay = computeRelativeDelay(firstMs, expectedMs);
    const relativeTime =
      expectedMs > 0 ? delay : Math.max(MIN_RELATIVE_TIME, delay);
    const stratum = `${this.currentPart()}/${getBaselineKey(cellName, times)}`;
    this.times[isFresh ? 'fresh' : 'old'].add(stratum, relativeTime);
  }

  private isSlow(cellName: string, times: AnswerTimes): boolean {
    const {firstMs = 0, eventMs = 0, expectedMs} = times;
    const usualDelay = this.firstByteBaselines.get(
      getBaselineKey(cellName, times),
    )?.mean;
    const usualEventMs = this.eventBaselines.get(cellName)?.mean;
    const hasSlowFirstByte =
      usualDelay !== undefined &&
      firstMs - expectedMs > MIN_SLOW_FIRST_EXCESS_MS &&
      computeRelativeDelay(firstMs, expectedMs) >
        usualDelay * SLOW_FIRST_FACTOR;
    const hasSlowEvents =
      usualEventMs !== undefined &&
      eventMs > Math.max(MIN_SLOW_EVENT_MS, usualEventMs * SLOW_EVENT_FACTOR);
    return hasSlowFirstByte || hasSlowEvents;
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

  private getOrCreateOutcomes(name: string, isFresh: boolean): CellOutcomes {
    const cells = isFresh ? this.fresh : this.old;
    const known = cells.get(name);
    if (known) return known;
    const cell: CellOutcomes & VersionOutcomes = {ended: 0, failed: 0, slow: 0};
    cells.set(name, cell);
    return cell;
  }
}

/** Returns the time to a first byte as a multiple of the expected time. */
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
