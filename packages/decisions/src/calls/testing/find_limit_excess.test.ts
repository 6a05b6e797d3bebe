import assert from 'node:assert/strict';
import {test} from 'node:test';
import {findLimitExcess} from './find_limit_excess.js';

const BOUND = {
  contactMs: 3_000,
  windowMs: 4_000,
  overage: 1.5,
  slack: 1,
  until: 60_000,
};
const limits = [{at: 10_000, perSecond: 0.5}];

/** Arrivals from a host that is bound by the limit from the start. */
function arrive(...times: number[]) {
  return times.map(at => ({at, boundAt: 0}));
}

void test('a window may contain the declared rate plus the tolerance, and no more', () => {
  const within = arrive(20_000, 20_001, 20_002, 23_999);
  assert.equal(
    findLimitExcess({...BOUND, limits, arrivals: within}),
    undefined,
  );
  const arrivals = [...within, ...arrive(23_500)];
  assert.deepEqual(findLimitExcess({...BOUND, limits, arrivals}), {
    until: 23_999,
    arrived: 5,
    allowed: 4,
  });
});

void test('windows are checked from some time after the first declaration, with the arrivals since then', () => {
  const early = arrive(10_001, 10_002, 10_003, 10_004, 10_005);
  const excess = findLimitExcess({...BOUND, limits, arrivals: early});
  assert.equal(excess?.until, 13_000);
  const before = arrive(9_998, 9_999, 10_001, 10_002, 10_003, 10_004);
  assert.equal(
    findLimitExcess({...BOUND, limits, arrivals: before}),
    undefined,
  );
});

void test('requests that a host sent before it learned of the limit count once it is bound', () => {
  const arrivals = Array.from({length: 5}, () => ({
    at: 13_000,
    boundAt: 15_000,
  }));
  const excess = findLimitExcess({...BOUND, limits, arrivals});
  assert.equal(excess?.until, 15_000);
  const unbound = arrivals.map(({at}) => ({at, boundAt: Infinity}));
  assert.equal(
    findLimitExcess({...BOUND, limits, arrivals: unbound}),
    undefined,
  );
});

void test('a changed limit counts for the time in which it was in force', () => {
  const changed = [...limits, {at: 20_000, perSecond: 0}];
  // From 17.5 to 21.5 s half a request per second is declared for 2.5 s: 1.875 are allowed, plus one.
  const within = arrive(19_000, 21_500);
  assert.equal(
    findLimitExcess({...BOUND, limits: changed, arrivals: within}),
    undefined,
  );
  const arrivals = [...within, ...arrive(19_001)];
  const excess = findLimitExcess({...BOUND, limits: changed, arrivals});
  assert.deepEqual(excess, {until: 21_500, arrived: 3, allowed: 2.875});
});
