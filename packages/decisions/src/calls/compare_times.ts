import {getOwn} from '@bayspool/kernel';
import type {TimeComparison} from './time_comparison.js';
import type {TimeCounts} from './time_counts.js';

interface Options {
  /** Times of each version by stratum. Only times of one stratum are compared with each other. */
  readonly fresh: Readonly<Record<string, TimeCounts>>;
  readonly old: Readonly<Record<string, TimeCounts>>;
}

/** The rank test of one stratum. */
interface StratumTest {
  readonly freshCount: number;
  /** Pairs of a new and an old response, and those of them in which the new one took longer; equal ones count half. */
  readonly pairs: number;
  readonly longer: number;
  /** Variance of `longer` by chance. */
  readonly variance: number;
  /** Weight in the sum over strata. */
  readonly weight: number;
}

/** Divisor in the variance of a rank sum. */
const RANK_VARIANCE_DIVISOR = 12;

/**
 * Compares the times of two versions by their ranks (a Wilcoxon test, summed over strata as by van
 * Elteren). Ranks need no limit from which a response is slow, and neither a few very long times nor
 * a disturbance of both versions changes the result.
 */
export function compareTimes({fresh, old}: Options): TimeComparison {
  const tests = Object.entries(fresh)
    .map(([name, counts]) => testStratum(counts, getOwn(old, name) ?? {}))
    .filter(({pairs}) => pairs > 0);
  const compared = sumOf(tests, ({freshCount}) => freshCount);
  const pairs = sumOf(tests, test => test.weight * test.pairs);
  if (pairs === 0) return {compared, longerShare: 0.5, deviations: 0};
  const longer = sumOf(tests, test => test.weight * test.longer);
  const variance = sumOf(tests, test => test.weight ** 2 * test.variance);
  const excess = longer - pairs / 2;
  const deviations = variance > 0 ? excess / Math.sqrt(variance) : 0;
  return {compared, longerShare: longer / pairs, deviations};
}

function testStratum(fresh: TimeCounts, old: TimeCounts): StratumTest {
  const freshCount = sumCounts(fresh);
  const oldCount = sumCounts(old);
  const all = freshCount + oldCount;
  const classes = [...new Set([...Object.keys(fresh), ...Object.keys(old)])];
  let longer = 0;
  let tieTerm = 0;
  let oldBelow = 0;
  for (const name of classes.sort((a, b) => Number(a) - Number(b))) {
    const freshHere = fresh[name] ?? 0;
    const oldHere = old[name] ?? 0;
    longer += freshHere * (oldBelow + oldHere / 2);
    oldBelow += oldHere;
    tieTerm += (freshHere + oldHere) ** 3 - (freshHere + oldHere);
  }
  const pairs = freshCount * oldCount;
  const spread = all > 1 ? all + 1 - tieTerm / (all * (all - 1)) : 0;
  return {
    freshCount,
    pairs,
    longer,
    variance: (pairs * spread) / RANK_VARIANCE_DIVISOR,
    weight: 1 / (all + 1),
  };
}

function sumCounts(counts: TimeCounts): number {
  return sumOf(Object.values(counts), count => count);
}

function sumOf<T>(items: readonly T[], valueOf: (item: T) => number): number {
  return items.reduce((sum, item) => sum + valueOf(item), 0);
}
