import assert from 'node:assert/strict';
import {test} from 'node:test';
import {findRetryExcess} from './find_retry_excess.js';

const BOUND = {ratio: 0.5, extra: 1, windowMs: 10_000};

/** Arrivals of one request at these times, in ms. */
function arrive(
  id: string,
  ...times: number[]
): Array<{id: string; at: number}> {
  return times.map(at => ({id, at}));
}

void test('the allowed retries grow with the requests of a window, plus a fixed allowance', () => {
  const sentAt = [1, 2];
  const within = arrive('a', 1, 100, 200);
  assert.equal(
    findRetryExcess({...BOUND, arrivals: within, sentAt}),
    undefined,
  );
  const arrivals = [...within, ...arrive('b', 2, 300)];
  const excess = findRetryExcess({...BOUND, arrivals, sentAt});
  assert.deepEqual(excess, {until: 300, retries: 3, allowed: 2});
});

void test('a sliding window counts only the arrivals within it', () => {
  const sentAt = [1, 2];
  const arrivals = arrive('a', 1, 100, 200, 10_101);
  assert.equal(findRetryExcess({...BOUND, arrivals, sentAt}), undefined);
});

void test('requests of the previous window also pay for the retries of a window', () => {
  const arrivals = arrive('a', 1, 15_000, 15_001);
  const late = {...BOUND, arrivals, sentAt: [6_000, 6_001]};
  assert.equal(findRetryExcess(late), undefined);
  const early = {...late, sentAt: [4_000, 4_001]};
  assert.equal(findRetryExcess(early)?.allowed, 1);
});

void test('every position of the window is checked, not only those that end with a retry', () => {
  const sentAt = [1, 9_000];
  const arrivals = [
    ...arrive('a', 1, 9_100),
    ...arrive('b', 9_000, 9_200, 9_300),
  ];
  // The window that ends with the last retry contains both requests. One that begins later, but before 9,000 ms, contains
  // one, and so does each earlier window that may pay for it.
  const excess = findRetryExcess({...BOUND, extra: 2.2, arrivals, sentAt});
  assert.equal(excess?.retries, 3);
  assert.equal(excess?.allowed, 2.7);
});
