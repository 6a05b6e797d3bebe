/**
 * What users saw: a new version whose answers took several times as long was made the only one; it got 147 of 369 calls where 85
 * are allowed, and went on for over 5 s after its fiftieth bad answer. Order of events: few of its answers had ended when all
 * calls moved; of those that had, most had come to their first event in a usual time and then went on slowly. Evidence:
 * times between events of 43 to 109 ms beside 17 ms of the old version, and first events that were awaited for over a second.
 */
import assert from 'node:assert/strict';
import {beforeEach, test} from 'node:test';
import {RolloutEvidence} from './rollout_evidence.js';

const CELL = 'route/model';
const USUAL = {firstMs: 60, eventMs: 17, expectedMs: 45};

let evidence: RolloutEvidence;

beforeEach(() => {
  evidence = new RolloutEvidence();
  for (let i = 0; i < 20; i++) evidence.recordEnded(CELL, false, false, USUAL);
});

void test('an answer that begins in time and goes on slowly is slow', () => {
  evidence.recordEnded(CELL, true, false, {...USUAL, eventMs: 60});
  evidence.recordEnded(CELL, true, false, {...USUAL, eventMs: 30});
  assert.equal(evidence.fresh.get(CELL)?.slow, 1);
});

void test('an answer with too few events to tell how fast they come is judged by its first one', () => {
  evidence.recordEnded(CELL, true, false, {firstMs: 100, expectedMs: 45});
  evidence.recordEnded(CELL, true, false, {firstMs: 200, expectedMs: 45});
  assert.equal(evidence.fresh.get(CELL)?.slow, 1);
});

void test('a long prompt may take longer, by as much as the old version takes for such a one', () => {
  evidence.recordEnded(CELL, true, false, {firstMs: 800, expectedMs: 600});
  evidence.recordEnded(CELL, true, false, {firstMs: 2_100, expectedMs: 600});
  assert.equal(evidence.fresh.get(CELL)?.slow, 1);
});

void test('a delay that a caller hardly notices is not slow, however much longer than usual', () => {
  for (let i = 0; i < 20; i++)
    evidence.recordEnded('quick', false, false, {firstMs: 5, expectedMs: 0});
  evidence.recordEnded('quick', true, false, {firstMs: 40, expectedMs: 0});
  evidence.recordEnded('quick', true, false, {firstMs: 90, expectedMs: 0});
  assert.equal(evidence.fresh.get('quick')?.slow, 1);
});

void test('an answer that is awaited for too long is slow before it comes', () => {
  let waitedMs: number | undefined = 0;
  const attempt = {
    cellName: CELL,
    isFresh: true,
    expectedMs: 45,
    waitedMs: () => waitedMs,
  };
  const end = evidence.trackAttempt(attempt);
  waitedMs = 100;
  assert.deepEqual([...evidence.countOverdue(true)], []);
  waitedMs = 200;
  assert.deepEqual([...evidence.countOverdue(true)], [[CELL, 1]]);
  assert.deepEqual([...evidence.countOverdue(false)], []);
  waitedMs = undefined;
  assert.deepEqual([...evidence.countOverdue(true)], []);
  waitedMs = 200;
  end();
  assert.deepEqual([...evidence.countOverdue(true)], []);
});

void test('an answer that a time limit or its caller ended is slow if it was overdue, and else tells nothing', () => {
  evidence.recordUnanswered(CELL, true, {firstMs: 100, expectedMs: 45});
  assert.equal(evidence.fresh.get(CELL), undefined);
  evidence.recordUnanswered(CELL, true, {firstMs: 8_000, expectedMs: 45});
  assert.deepEqual(evidence.fresh.get(CELL), {ended: 1, failed: 0, slow: 1});
});

void test('nothing is slow while the times of the old version are not known', () => {
  evidence.recordEnded('other', true, false, {
    firstMs: 9_000,
    eventMs: 900,
    expectedMs: 0,
  });
  assert.equal(evidence.fresh.get('other')?.slow, 0);
});
