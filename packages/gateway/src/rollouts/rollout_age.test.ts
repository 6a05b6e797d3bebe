import assert from 'node:assert/strict';
import {test} from 'node:test';
import {VirtualClock} from '@bayspool/kernel';
import {EventLog} from '../observability/event_log.js';
import {mergeRolloutDigests} from './merge_rollout_digests.js';
import {Rollout} from './rollout.js';

const DURATION_MS = 24_000;
/** How far the wall clock of a host may be ahead, in ms: such jumps occur on the customer's platform. */
const AHEAD_MS = 5_000;

const clock = new VirtualClock();
const log = new EventLog({clock, host: 'host', sink: {write: () => undefined}});

function createRollout(elapsedMs: number, isSeen: boolean): Rollout {
  const order = {
    service: 'svc',
    version: 'v2',
    durationMs: DURATION_MS,
    offset: 7,
  };
  return new Rollout({clock, log, order, elapsedMs, isSeen, statesFrom: 0});
}

void test('an age that a host measured takes precedence over one from a clock that is ahead', () => {
  const measured = createRollout(4_000, true);
  const ahead = createRollout(4_000 + AHEAD_MS, false);
  measured.mergeAge(ahead.createDigest(0));
  assert.equal(measured.elapsedMs, 4_000);
  ahead.mergeAge(measured.createDigest(0));
  assert.equal(ahead.elapsedMs, 4_000);
  ahead.mergeAge({elapsedMs: 4_000 + AHEAD_MS, isSeen: false});
  assert.equal(ahead.elapsedMs, 4_000);
});

void test('the longest of several measured ages wins, also in a merged digest', () => {
  const early = createRollout(3_000, true);
  const late = createRollout(2_000, true);
  const ahead = createRollout(9_000, false);
  const merged = [ahead, late, early]
    .map(rollout => rollout.createDigest(0))
    .reduce(mergeRolloutDigests);
  assert.equal(merged.elapsedMs, 3_000);
  assert.equal(merged.isSeen, true);
  late.mergeAge(merged);
  assert.equal(late.elapsedMs, 3_000);
  early.mergeAge(late.createDigest(0));
  assert.equal(early.elapsedMs, 3_000);
});

void test('after a restart of all hosts the longest age from wall clocks wins', () => {
  const rollout = createRollout(0, false);
  rollout.mergeAge({elapsedMs: 6_000, isSeen: false});
  rollout.mergeAge({elapsedMs: 5_000, isSeen: false});
  assert.equal(rollout.elapsedMs, 6_000);
});

void test('a host that only has an age from its wall clock waits for its peers before it uses it', () => {
  const restarted = createRollout(16_000, false);
  const shareOf = () => restarted.shareOf({hasSession: true});
  assert.equal(restarted.isAgeKnown, false);
  assert.equal(shareOf(), 0);
  clock.advance(299);
  assert.equal(shareOf(), 0);
  clock.advance(1);
  assert.equal(restarted.elapsedMs, 16_300);
  assert.ok(shareOf() > 0);
});

void test('an age from a peer takes precedence over the own wall clock, also before the wait is over', () => {
  const restarted = createRollout(16_000, false);
  restarted.mergeAge({elapsedMs: 0, isSeen: false});
  assert.equal(restarted.isAgeKnown, false);
  restarted.mergeAge({elapsedMs: 9_000, isSeen: false});
  assert.equal(restarted.elapsedMs, 9_000);
  restarted.applyWallClockElapsed(16_000);
  assert.equal(restarted.elapsedMs, 9_000);
});
