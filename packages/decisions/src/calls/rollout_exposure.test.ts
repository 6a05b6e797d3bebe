import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {exposureLimit} from './exposure_limit.js';
import {latestCompleteMs} from './latest_complete_ms.js';
import {mayComplete} from './may_complete.js';
import {mayMoveAll} from './may_move_all.js';
import {mayMoveMore} from './may_move_more.js';
import {mayMoveSessions} from './may_move_sessions.js';
import type {RolloutFacts} from './rollout_facts.js';
import {watchedLimit} from './watched_limit.js';
import {watchedShare} from './watched_share.js';

const BOUNDS = {share: 0.15, calls: 30};
const DURATION_MS = 16_000;

/** A roll-out of a service with 80 calls a second, late in its time, of which 40 answers are known to be good. */
function facts(overrides: Partial<RolloutFacts> = {}): RolloutFacts {
  return {
    elapsedMs: 12_000,
    durationMs: DURATION_MS,
    sentAll: 960,
    sentFresh: 45,
    goodFresh: 40,
    callsPerMs: 0.08,
    freshPerMs: 0.005,
    isMovingAll: false,
    isSuspect: false,
    isSeen: true,
    ...overrides,
  };
}

void test('the limit is a part of the calls and some besides, which are not allowed again after all hosts forgot them', () => {
  assert.ok(exposureLimit(BOUNDS, 1_000, true) <= 180);
  assert.ok(exposureLimit(BOUNDS, 1_000, true) > 150);
  assert.equal(exposureLimit(BOUNDS, 1_000, false), 150);
});

void test('what a watched version may get rises with its good answers, not with time', () => {
  const early = facts({elapsedMs: 2_000, goodFresh: 0, sentFresh: 0});
  const late = facts({elapsedMs: 15_000, goodFresh: 0, sentFresh: 0});
  assert.equal(watchedLimit(BOUNDS, early), watchedLimit(BOUNDS, late));
  assert.ok(watchedLimit(BOUNDS, late) < 15);
  assert.ok(watchedLimit(BOUNDS, facts()) > watchedLimit(BOUNDS, late));
});

void test('a watched version never gets more than a part of what a bad one may have, whatever is known', () => {
  const known = fc.record({
    elapsedMs: fc.nat(DURATION_MS),
    sentAll: fc.nat(10_000),
    sentFresh: fc.nat(1_000),
    goodFresh: fc.nat(1_000),
    callsPerMs: fc.double({min: 0, max: 1, noNaN: true}),
  });
  fc.assert(
    fc.property(known, some => {
      const all = facts(some);
      assert.ok(
        watchedLimit(BOUNDS, all) <= exposureLimit(BOUNDS, all.sentAll, true),
      );
      const share = watchedShare(BOUNDS, all);
      assert.ok(share > 0 && share <= 0.5, `share ${share}`);
    }),
  );
});

void test('all calls move only when those up to the limit are no more than a bad version may get, also if they come faster', () => {
  assert.equal(mayMoveAll(BOUNDS, facts()), false);
  const last = facts({elapsedMs: 15_500, sentAll: 1_240});
  assert.equal(mayMoveAll(BOUNDS, last), true);
  assert.equal(mayMoveAll(BOUNDS, {...last, sentFresh: 150}), false);
  assert.equal(mayMoveAll(BOUNDS, {...last, callsPerMs: 0.4}), false);
});

void test('nothing moves to a version that is suspect, or of which hardly an answer is known', () => {
  const last = facts({elapsedMs: 15_500, sentAll: 1_240});
  assert.equal(mayMoveAll(BOUNDS, {...last, isSuspect: true}), false);
  assert.equal(mayMoveAll(BOUNDS, {...last, goodFresh: 3}), false);
  const few = facts({elapsedMs: 15_500, callsPerMs: 0.002, sentAll: 32});
  assert.equal(mayMoveAll(BOUNDS, {...few, sentFresh: 8, goodFresh: 8}), true);
});

void test('what would come after the end of the roll-out counts before one more call is given', () => {
  const own = facts({elapsedMs: 15_000, sentAll: 1_200, sentFresh: 120});
  assert.equal(mayMoveMore(BOUNDS, own), true);
  assert.equal(mayMoveMore(BOUNDS, {...own, freshPerMs: 0.2}), false);
  assert.equal(mayMoveMore(BOUNDS, {...own, callsPerMs: 0.2}), false);
});

void test('no session moves in the first half', () => {
  const at = (elapsedMs: number) =>
    mayMoveSessions({elapsedMs, durationMs: DURATION_MS});
  assert.equal(at(DURATION_MS / 2), false);
  assert.equal(at(DURATION_MS * 0.52), true);
});

void test('a roll-out that is not suspect is complete before its limit, one that is waits', () => {
  const latest = facts({
    elapsedMs: latestCompleteMs(DURATION_MS),
    sentAll: 1_230,
  });
  assert.ok(latest.elapsedMs < DURATION_MS);
  assert.equal(mayComplete(BOUNDS, latest, 50), true);
  assert.equal(mayComplete(BOUNDS, {...latest, isSuspect: true}, 50), false);
  const surge = {...latest, callsPerMs: 0.4, sentFresh: 150};
  assert.equal(mayComplete(BOUNDS, surge, 50), false);
  assert.equal(mayComplete(BOUNDS, {...surge, elapsedMs: 15_750}, 50), true);
});

void test('a roll-out is complete early only with nothing left on the old version and few calls to come', () => {
  const few = facts({
    elapsedMs: 13_000,
    callsPerMs: 0.002,
    sentAll: 26,
    isMovingAll: true,
  });
  assert.equal(mayComplete(BOUNDS, {...few, sentFresh: 8}, 0), true);
  assert.equal(mayComplete(BOUNDS, {...few, sentFresh: 8}, 1), false);
  const watched = {...few, sentFresh: 8, isMovingAll: false};
  assert.equal(mayComplete(BOUNDS, watched, 0), false);
  assert.equal(mayComplete(BOUNDS, facts({elapsedMs: 13_000}), 0), false);
});
