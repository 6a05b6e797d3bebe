import {getOwn} from '@bayspool/kernel';
import {combineTimeStrata} from '../rollouts/combine_time_strata.js';
import type {TimeStrata} from '../rollouts/time_strata.js';
import type {LoadDigest} from './load_digest.js';
import {subtractDemands} from './subtract_demands.js';
import {subtractSpeeds} from './subtract_speeds.js';

type RunnerCounts = readonly [number, number, number, number];

/** Subtracts the digest that one host contributed from a sum of digests, including rollout evidence. */
export function subtractLoadDigest(
  sum: LoadDigest,
  part: LoadDigest,
): LoadDigest {
  const runners: Record<string, RunnerCounts> = {...sum.runners};
  for (const [id, own] of Object.entries(part.runners)) {
    const all = getOwn(runners, id);
    if (all)
      runners[id] = all.map((n, i) => subtractClamped(n, own[i])) as never;
  }
  const rollouts = {...sum.rollouts};
  for (const [service, own] of Object.entries(part.rollouts)) {
    const all = getOwn(rollouts, service);
    if (!all || all.offset !== own.offset) continue;
    rollouts[service] = {
      ...all,
      oldRunning: subtractClamped(all.oldRunning, own.oldRunning),
      freshSent: subtractClamped(all.freshSent ?? 0, own.freshSent ?? 0),
      oldSent: subtractClamped(all.oldSent ?? 0, own.oldSent ?? 0),
      fresh: subtractCells(all.fresh, own.fresh),
      old: subtractCells(all.old, own.old),
      freshTimes: subtractTimes(all.freshTimes, own.freshTimes),
      oldTimes: subtractTimes(all.oldTimes, own.oldTimes),
    };
  }
  const retries = subtractRetryCounts(sum.retries, part.retries);
  const speeds = subtractSpeeds(sum.speeds, part.speeds);
  const demand = subtractDemands(sum.demand, part.demand);
  return {
    ...sum,
    runners,
    rollouts,
    retries,
    speeds,
    ...(demand && {demand}),
  };
}

type RetryCounts = LoadDigest['retries'];

function subtractRetryCounts(
  sum: RetryCounts = {},
  part: RetryCounts = {},
): RetryCounts {
  const rest = {...sum};
  for (const [service, [calls, retries]] of Object.entries(part)) {
    const all = getOwn(rest, service);
    if (!all) continue;
    rest[service] = [
      subtractClamped(all[0], calls),
      subtractClamped(all[1], retries),
    ];
  }
  return rest;
}

type Cells = LoadDigest['rollouts'][string]['fresh'];

function subtractCells(sum: Cells, part: Cells): Cells {
  const rest = {...sum};
  for (const [name, own] of Object.entries(part)) {
    const all = getOwn(rest, name);
    if (all)
      rest[name] = all.map((n, i) =>
        subtractClamped(n ?? 0, own[i] ?? 0),
      ) as never;
  }
  return rest;
}

function subtractTimes(
  sum: TimeStrata = {},
  part: TimeStrata = {},
): TimeStrata {
  return combineTimeStrata(sum, part, subtractClamped);
}

function subtractClamped(a: number, b: number): number {
  return Math.max(0, a - b);
}
