import type {TimeCounts} from '@bayspool/decisions/calls';
import {getOwn} from '@bayspool/kernel';
import type {TimeStrata} from './time_strata.js';

/** Combines two sets of times number by number; a number that one of them lacks is 0. */
export function combineTimeStrata(
  a: TimeStrata,
  b: TimeStrata,
  combine: (a: number, b: number) => number,
): TimeStrata {
  const strata = unionKeys(a, b).map(name => {
    const [ofA = {}, ofB = {}] = [getOwn(a, name), getOwn(b, name)];
    return [name, combineTimes(ofA, ofB, combine)] as const;
  });
  return Object.fromEntries(strata);
}

function combineTimes(
  a: TimeCounts,
  b: TimeCounts,
  combine: (a: number, b: number) => number,
): TimeCounts {
  const times = unionKeys(a, b).map(
    index =>
      [index, combine(getOwn(a, index) ?? 0, getOwn(b, index) ?? 0)] as const,
  );
  return Object.fromEntries(times);
}

function unionKeys(a: object, b: object): string[] {
  return [...new Set([...Object.keys(a), ...Object.keys(b)])];
}
