import assert from 'node:assert/strict';
import {test} from 'node:test';
import {isRecentlyWorse} from './is_recently_worse.js';

const old = {ended: 500, failed: 10, slow: 0};

void test('a few failures of few answers are enough to wait, one or two of a connection are not', () => {
  const isWorse = (failed: number, ended: number) =>
    isRecentlyWorse({fresh: {ended, failed, slow: 0}, old});
  assert.equal(isWorse(3, 12), true);
  assert.equal(isWorse(2, 4), false);
  assert.equal(isWorse(4, 80), false);
});

void test('slow answers count as failures do', () => {
  const fresh = {ended: 12, failed: 0, slow: 3};
  assert.equal(isRecentlyWorse({fresh, old}), true);
});

void test('failures that both versions have are no reason to wait', () => {
  const troubled = {ended: 500, failed: 150, slow: 0};
  const fresh = {ended: 20, failed: 6, slow: 0};
  assert.equal(isRecentlyWorse({fresh, old: troubled}), false);
});
