import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {computeExposureLimit} from './compute_exposure_limit.js';
import {computeLatestCompletionMs} from './compute_latest_completion_ms.js';
import {canCompleteRollout} from './can_complete_rollout.js';
import {canShiftAllCalls} from './can_shift_all_calls.js';
import {canShiftOneMoreCall} from './can_shift_one_more_call.js';
import {canShiftSessions} from './can_shift_sessions.js';
import type {RolloutProgress} from './rollout_progress.js';
import {computeCanaryLimit} from './compute_canary_limit.js';
import {computeCanaryShare} from './compute_canary_share.js';

const BOUNDS = {share: 0.15, calls: 30};
const DURATION_MS = 16_000;

/**
 * A rollout of a service with 80 calls per second, late in its time, with 40 known good responses.
 */
function progress(overrides: Partial<RolloutProgress> = {}): RolloutProgress {
  return {
    elapsedMs: 12_000,
    durationMs: DURATION_MS,
    sentAll: 960,
    sentFresh: 45,
    goodFresh: 40,
    callsPerMs: 0.08,
    freshPerMs: 0.005,
    isShiftingAll: false,
    isSuspect: false,
    isSeen: true,
    ...overrides,
  };
}

void test('the limit is a share of the calls plus a fixed allowance, which is not granted again after all hosts lost their counts', () => {
  assert.ok(computeExposureLimit(BOUNDS, 1_000, true) <= 180);
  assert.ok(computeExposureLimit(BOUNDS, 1_000, true) > 150);
  assert.equal(computeExposureLimit(BOUNDS, 1_000, false), 150);
});

void test('the canary limit rises with good responses, not with time', () => {
  const early = progress({elapsedMs: 2_000, goodFresh: 0, sentFresh: 0});
  const late = progress({elapsedMs: 15_000, goodFresh: 0, sentFresh: 0});
  assert.equal(
    computeCanaryLimit(BOUNDS, early),
    computeCanaryLimit(BOUNDS, late),
  );
  assert.ok(computeCanaryLimit(BOUNDS, late) < 15);
  assert.ok(
    computeCanaryLimit(BOUNDS, progress()) > computeCanaryLimit(BOUNDS, late),
  );
});

void test('a canary version never gets more than part of the exposure limit, whatever is known about it', () => {
  const anyProgress = fc.record({
    elapsedMs: fc.nat(DURATION_MS),
    sentAll: fc.nat(10_000),
    sentFresh: fc.nat(1_000),
    goodFresh: fc.nat(1_000),
    callsPerMs: fc.double({min: 0, max: 1, noNaN: true}),
  });
  fc.assert(
    fc.property(anyProgress, overrides => {
      const all = progress(overrides);
      assert.ok(
        computeCanaryLimit(BOUNDS, all) <=
          computeExposureLimit(BOUNDS, all.sentAll, true),
      );
      const share = computeCanaryShare(BOUNDS, all);
      assert.ok(share > 0 && share <= 0.5, `share ${share}`);
    }),
  );
});

void test('all calls are shifted only when those up to the limit stay within the bound for a bad version, even at a higher rate', () => {
  assert.equal(canShiftAllCalls(BOUNDS, progress()), false);
  const last = progress({elapsedMs: 15_500, sentAll: 1_240});
  assert.equal(canShiftAllCalls(BOUNDS, last), true);
  assert.equal(canShiftAllCalls(BOUNDS, {...last, sentFresh: 150}), false);
  assert.equal(canShiftAllCalls(BOUNDS, {...last, callsPerMs: 0.4}), false);
});

void test('no calls are shifted to a version that is suspect or has hardly any responses', () => {
  const last = progress({elapsedMs: 15_500, sentAll: 1_240});
  assert.equal(canShiftAllCalls(BOUNDS, {...last, isSuspect: true}), false);
  assert.equal(canShiftAllCalls(BOUNDS, {...last, goodFresh: 3}), false);
  const few = progress({elapsedMs: 15_500, callsPerMs: 0.002, sentAll: 32});
  assert.equal(
    canShiftAllCalls(BOUNDS, {...few, sentFresh: 8, goodFresh: 8}),
    true,
  );
});

void test('calls expected after completion are counted before one more call is shifted', () => {
  const own = progress({elapsedMs: 15_000, sentAll: 1_200, sentFresh: 120});
  assert.equal(canShiftOneMoreCall(BOUNDS, own), true);
  assert.equal(canShiftOneMoreCall(BOUNDS, {...own, freshPerMs: 0.2}), false);
  assert.equal(canShiftOneMoreCall(BOUNDS, {...own, callsPerMs: 0.2}), false);
});

void test('no session is shifted in the first half', () => {
  const at = (elapsedMs: number) =>
    canShiftSessions({elapsedMs, durationMs: DURATION_MS});
  assert.equal(at(DURATION_MS / 2), false);
  assert.equal(at(DURATION_MS * 0.52), true);
});

void test('a rollout that is not suspect completes before its limit, a suspect one waits', () => {
  const latest = progress({
    elapsedMs: computeLatestCompletionMs(DURATION_MS),
    sentAll: 1_230,
  });
  assert.ok(latest.elapsedMs < DURATION_MS);
  assert.equal(canCompleteRollout(BOUNDS, latest, 50), true);
  assert.equal(
    canCompleteRollout(BOUNDS, {...latest, isSuspect: true}, 50),
    false,
  );
  const surge = {...latest, callsPerMs: 0.4, sentFresh: 150};
  assert.equal(canCompleteRollout(BOUNDS, surge, 50), false);
  assert.equal(
    canCompleteRollout(BOUNDS, {...surge, elapsedMs: 15_750}, 50),
    true,
  );
});

void test('a rollout completes early only with nothing left on the old version and few calls to come', () => {
  const few = progress({
    elapsedMs: 13_000,
    callsPerMs: 0.002,
    sentAll: 26,
    isShiftingAll: true,
  });
  assert.equal(canCompleteRollout(BOUNDS, {...few, sentFresh: 8}, 0), true);
  assert.equal(canCompleteRollout(BOUNDS, {...few, sentFresh: 8}, 1), false);
  const canary = {...few, sentFresh: 8, isShiftingAll: false};
  assert.equal(canCompleteRollout(BOUNDS, canary, 0), false);
  assert.equal(
    canCompleteRollout(BOUNDS, progress({elapsedMs: 13_000}), 0),
    false,
  );
});
