import type {VersionTally} from '@bayspool/decisions/calls';
import type {TallyCell} from './tally_cell.js';

/** How many times the old version's time an answer may take before it counts as slow. */
const SLOW_TIMES = 3;
/** Times over the old version's that are not worth counting as slow, in ms. */
const MIN_SLOW_MS = 150;
/** Answers of the old version before its time is known well enough. */
const MIN_KNOWN = 5;
/** Weight of one answer in the old version's mean time. */
const LEARNING_RATE = 0.1;

interface Baseline {
  meanMs: number;
  count: number;
}

/** What this host saw of the two versions of a roll-out, by route and model. */
export class RolloutEvidence {
  readonly fresh = new Map<string, TallyCell>();
  readonly old = new Map<string, TallyCell>();
  /** Attempts at the new version so far, and at the others. */
  readonly sent = {fresh: 0, old: 0};
  private readonly baselines = new Map<string, Baseline>();

  /** Counts an attempt that begins: what a version got is known before it answers. */
  noteSent(isFresh: boolean): void {
    this.sent[isFresh ? 'fresh' : 'old'] += 1;
  }

  /** @param firstMs time to the first byte; absent if none came */
  note(
    cellName: string,
    isFresh: boolean,
    hasFailed: boolean,
    firstMs: number | undefined,
  ): void {
    const cell = cellOf(isFresh ? this.fresh : this.old, cellName);
    cell.ended += 1;
    if (hasFailed) cell.failed += 1;
    if (firstMs === undefined) return;
    if (this.isSlow(cellName, firstMs)) cell.slow += 1;
    if (!isFresh) this.learn(cellName, firstMs);
  }

  private isSlow(cellName: string, firstMs: number): boolean {
    const baseline = this.baselines.get(cellName);
    if (!baseline || baseline.count < MIN_KNOWN) return false;
    return firstMs > Math.max(MIN_SLOW_MS, baseline.meanMs * SLOW_TIMES);
  }

  private learn(cellName: string, firstMs: number): void {
    const baseline = this.baselines.get(cellName) ?? {meanMs: 0, count: 0};
    this.baselines.set(cellName, baseline);
    baseline.count += 1;
    const rate = Math.max(LEARNING_RATE, 1 / baseline.count);
    baseline.meanMs += rate * (firstMs - baseline.meanMs);
  }
}

function cellOf(cells: Map<string, TallyCell>, name: string): TallyCell {
  const known = cells.get(name);
  if (known) return known;
  const fresh: TallyCell & VersionTally = {ended: 0, failed: 0, slow: 0};
  cells.set(name, fresh);
  return fresh;
}
