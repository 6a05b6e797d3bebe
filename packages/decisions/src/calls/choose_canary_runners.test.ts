import assert from 'node:assert/strict';
import {test} from 'node:test';
import {chooseCanaryRunners} from './choose_canary_runners.js';

const SLOTS = 64;

function runners(name: string, loads: readonly number[]) {
  return loads.map((totalRunning, i) => ({
    id: `${name}-${i}`,
    totalRunning,
    slots: SLOTS,
  }));
}

void test('calls of a canary version fill one runner up to the usual load before the next one gets any', () => {
  const fresh = runners('new', [0, 0, 0, 0]);
  const old = runners('old', [30, 34]);
  const loadedCounts: number[] = [];
  for (let i = 0; i < 64; i++) {
    const chosen = chooseCanaryRunners({fresh, old});
    assert.equal(chosen.length, 1);
    chosen[0].totalRunning += 1;
    loadedCounts.push(
      fresh.filter(({totalRunning}) => totalRunning > 0).length,
    );
  }
  assert.equal(loadedCounts[31], 1);
  assert.equal(loadedCounts[32], 2);
  assert.equal(loadedCounts[63], 2);
});

void test('all hosts take the runners in the same order', () => {
  const fresh = runners('new', [0, 0, 0, 0]);
  const old = runners('old', [30, 34]);
  const [first] = chooseCanaryRunners({fresh, old});
  const [again] = chooseCanaryRunners({fresh: [...fresh].reverse(), old});
  assert.equal(first.id, again.id);
});

void test('while the old runners have little load, calls go to all runners of a canary version', () => {
  const fresh = runners('new', [0, 0, 0, 0]);
  const old = runners('old', [7, 9]);
  assert.deepEqual(chooseCanaryRunners({fresh, old}), fresh);
});
