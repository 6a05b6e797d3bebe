// A good version was taken back 18.5 s after its order: of its last 37 answers five were slow, and of the old version's none was
// known. Its counts had gone back, as what some hosts had counted was not told for a moment; in all, 1,277 of its 11,189
// answers were slow, more than of the new version's.
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {evaluateVersion} from '@bayspool/decisions/calls';
import {VirtualClock} from '@bayspool/kernel';
import {RecentEvidence} from './recent_evidence.js';

const CELL = 'route/model';

function tallyOf([ended, failed, slow]: readonly [number, number, number]) {
  return {ended, failed, slow};
}

function createEvidence() {
  const clock = new VirtualClock();
  const recent = new RecentEvidence({clock});
  const take = (
    fresh: readonly [number, number, number],
    old: readonly [number, number, number],
  ) => {
    const seen = recent.update({fresh: {[CELL]: fresh}, old: {[CELL]: old}});
    clock.advance(500);
    return {fresh: tallyOf(seen.fresh[CELL]), old: tallyOf(seen.old[CELL])};
  };
  return take;
}

void test('what was seen lately is told apart from what was seen before', () => {
  const take = createEvidence();
  take([50, 1, 0], [1_000, 20, 100]);
  const seen = take([70, 9, 2], [1_100, 22, 110]);
  assert.deepEqual(seen.fresh, {ended: 20, failed: 8, slow: 2});
  assert.deepEqual(seen.old, {ended: 100, failed: 2, slow: 10});
});

void test('a new version is not judged against nothing when the counts of the old one go back', () => {
  const take = createEvidence();
  take([113, 0, 8], [11_189, 274, 1_277]);
  const seen = take([150, 2, 13], [9_800, 240, 1_120]);
  assert.equal(evaluateVersion(seen), 'open');
});

void test('a bad version is found although the counts of the old one go back', () => {
  const take = createEvidence();
  take([113, 0, 8], [11_189, 274, 1_277]);
  const seen = take([150, 20, 13], [9_800, 240, 1_120]);
  assert.equal(evaluateVersion(seen), 'bad');
});

void test('counts of the new version that go back are no evidence', () => {
  const take = createEvidence();
  take([113, 20, 8], [1_000, 20, 100]);
  const seen = take([90, 18, 6], [1_100, 22, 110]);
  assert.deepEqual(seen.fresh, {ended: 0, failed: 0, slow: 0});
});
