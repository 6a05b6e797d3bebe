import assert from 'node:assert/strict';
import {test} from 'node:test';
import {isRecentlyWorse} from './is_recently_worse.js';

const old = {ended: 500, failed: 10, slow: 0};

void test('a few failures among few responses delay the rollout, one or two from a connection do not', () => {
  const isWorse = (failed: number, ended: number) =>
    isRecentlyWorse({fresh: {ended, failed, slow: 0}, old});
  assert.equal(isWorse(3, 12), true);
  assert.equal(isWorse(2, 4), false);
  assert.equal(isWorse(4, 80), false);
});

void test('slow responses count like failures', () => {
  const fresh = {ended: 12, failed: 0, slow: 3};
  assert.equal(isRecentlyWorse({fresh, old}), true);
});

void test('failures that both versions have do not delay the rollout', () => {
  const unreliable = {ended: 500, failed: 150, slow: 0};
  const fresh = {ended: 20, failed: 6, slow: 0};
  assert.equal(isRecentlyWorse({fresh, old: unreliable}), false);
});
