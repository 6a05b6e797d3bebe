import assert from 'node:assert/strict';
import {test} from 'node:test';
import {isVersionSuspect} from './is_version_suspect.js';

void test('a version is suspect once it seems to fail much more often than the old one', () => {
  const none = {ended: 0, failed: 0, slow: 0};
  const old = {ended: 300, failed: 3, slow: 0};
  const isSuspect = (ended: number, failed: number, before = old) =>
    isVersionSuspect({fresh: {ended, failed, slow: 0}, old: before});
  assert.equal(isSuspect(1, 1, none), false);
  assert.equal(isSuspect(10, 3), true);
  assert.equal(isSuspect(100, 5), false);
  assert.equal(isSuspect(100, 20), true);
  const unreliable = {ended: 300, failed: 45, slow: 0};
  assert.equal(isSuspect(100, 20, unreliable), false);
});
