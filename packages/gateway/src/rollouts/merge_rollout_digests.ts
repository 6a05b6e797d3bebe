import {addOutcomeCounts} from './add_outcome_counts.js';
import {combineTimeStrata} from './combine_time_strata.js';
import {mergeShareSteps} from './merge_share_steps.js';
import {selectAge} from './select_age.js';
import type {RolloutAge} from './rollout_age.js';
import type {RolloutDigest} from './rollout_digest.js';
import type {TimeStrata} from './time_strata.js';

type Cells = RolloutDigest['fresh'];

/** Sums two digests of one service; if they are for different orders, returns the one for the newer order. */
export function mergeRolloutDigests(
  a: RolloutDigest,
  b: RolloutDigest,
): RolloutDigest {
  if (a.offset !== b.offset) return a.offset > b.offset ? a : b;
  return {
    offset: a.offset,
    ...toAge(selectAge(a, b)),
    isBad: a.isBad || b.isBad,
    shares: mergeShareSteps(a.shares, b.shares),
    oldRunning: a.oldRunning + b.oldRunning,
    freshSent: (a.freshSent ?? 0) + (b.freshSent ?? 0),
    oldSent: (a.oldSent ?? 0) + (b.oldSent ?? 0),
    hasLostCounts: a.hasLostCounts || b.hasLostCounts,
    fresh: mergeCells(a.fresh, b.fresh),
    old: mergeCells(a.old, b.old),
    freshTimes: addTimes(a.freshTimes, b.freshTimes),
    oldTimes: addTimes(a.oldTimes, b.oldTimes),
  };
}

function toAge({elapsedMs, isSeen}: RolloutAge): RolloutAge {
  return {elapsedMs, isSeen};
}

function addTimes(a: TimeStrata = {}, b: TimeStrata = {}): TimeStrata {
  return combineTimeStrata(a, b, (ofA, ofB) => ofA + ofB);
}

function mergeCells(a: Cells, b: Cells): Cells {
  const sum = new Map(Object.entries(a));
  for (const [name, counts] of Object.entries(b))
    sum.set(name, addOutcomeCounts(sum.get(name) ?? [0, 0, 0], counts));
  return Object.fromEntries(sum);
}
