import assert from 'node:assert/strict';
import {test} from 'node:test';
import {rolloutShare} from './rollout_share.js';

void test('the share of a new version is constant first, never falls, and ends at all', () => {
  const durationMs = 10_000;
  const shares = Array.from({length: 101}, (_, i) =>
    rolloutShare({elapsedMs: i * 100, durationMs, hasSession: false}),
  );
  assert.ok(shares.slice(0, 50).every(share => share === shares[0]));
  assert.ok(shares[0] < 0.15);
  assert.ok(shares.every((share, i) => i === 0 || share >= shares[i - 1]));
  assert.equal(shares[75], 1);
});

void test('sessions get the share of the other calls, but nothing in the first half', () => {
  const durationMs = 10_000;
  const shareAt = (elapsedMs: number, hasSession: boolean) =>
    rolloutShare({elapsedMs, durationMs, hasSession});
  for (let elapsedMs = 0; elapsedMs <= durationMs; elapsedMs += 100) {
    const share = shareAt(elapsedMs, true);
    if (elapsedMs <= durationMs / 2) assert.equal(share, 0);
    if (elapsedMs > 5_200) assert.equal(share, shareAt(elapsedMs, false));
  }
});
