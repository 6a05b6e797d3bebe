/**
 * Guards against a slow version that is rolled out completely. A version whose responses took several times as long got 147 of 369
 * calls, where 85 are allowed, and went on getting calls for over 5 s after its fiftieth bad response. Few of its responses had ended
 * when all calls moved; most of those had sent their first event in the usual time and then continued slowly, with 43 to 109 ms
 * between events, against 17 ms on the old version. Other responses had been waiting for their first event for over a second.
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

void test('a response that begins in time and continues slowly counts as slow', () => {
  evidence.recordEnded(CELL, true, false, {...USUAL, eventMs: 60});
  evidence.recordEnded(CELL, true, false, {...USUAL, eventMs: 30});
  assert.equal(evidence.fresh.get(CELL)?.slow, 1);
});

void test('a response with too few events to measure their interval is evaluated by its first byte', () => {
  evidence.recordEnded(CELL, true, false, {firstMs: 100, expectedMs: 45});
  evidence.recordEnded(CELL, true, false, {firstMs: 200, expectedMs: 45});
  assert.equal(evidence.fresh.get(CELL)?.slow, 1);
});

void test('the expected time accounts for a long prompt', () => {
  evidence.recordEnded(CELL, true, false, {firstMs: 800, expectedMs: 600});
  evidence.recordEnded(CELL, true, false, {firstMs: 2_100, expectedMs: 600});
  assert.equal(evidence.fresh.get(CELL)?.slow, 1);
});

void test('a delay that a caller hardly notices is not slow, even if it is many times the usual one', () => {
  for (let i = 0; i < 20; i++)
    evidence.recordEnded('quick', false, false, {firstMs: 5, expectedMs: 0});
  evidence.recordEnded('quick', true, false, {firstMs: 40, expectedMs: 0});
  evidence.recordEnded('quick', true, false, {firstMs: 90, expectedMs: 0});
  assert.equal(evidence.fresh.get('quick')?.slow, 1);
});

void test('a response that is overdue counts as slow before it arrives', () => {
  let waitedMs: number | undefined = 0;
  const attempt = {
    cellName: CELL,
    isFresh: true,
    expectedMs: 45,
    waitedMs: () => waitedMs,
  };
  const untrack = evidence.trackAttempt(attempt);
  waitedMs = 100;
  assert.deepEqual([...evidence.countOverdue(true)], []);
  waitedMs = 200;
  assert.deepEqual([...evidence.countOverdue(true)], [[CELL, 1]]);
  assert.deepEqual([...evidence.countOverdue(false)], []);
  waitedMs = undefined;
  assert.deepEqual([...evidence.countOverdue(true)], []);
  waitedMs = 200;
  untrack();
  assert.deepEqual([...evidence.countOverdue(true)], []);
});

void test('a response ended by its caller or a time limit counts as slow if it was overdue, and is ignored otherwise', () => {
  evidence.recordUnanswered(CELL, true, {firstMs: 100, expectedMs: 45});
  assert.equal(evidence.fresh.get(CELL), undefined);
  evidence.recordUnanswered(CELL, true, {firstMs: 8_000, expectedMs: 45});
  assert.deepEqual(evidence.fresh.get(CELL), {ended: 1, failed: 0, slow: 1});
});

void test('nothing counts as slow without a baseline of the old version', () => {
  evidence.recordEnded('other', true, false, {
    firstMs: 9_000,
    eventMs: 900,
    expectedMs: 0,
  });
  assert.equal(evidence.fresh.get('other')?.slow, 0);
});
