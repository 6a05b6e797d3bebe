import assert from 'node:assert/strict';
import {test} from 'node:test';
import {VirtualClock} from '@bayspool/kernel';
import {EventLog} from '../observability/event_log.js';
import {mergeRolloutDigests} from './merge_rollout_digests.js';
import {Rollout} from './rollout.js';

const DURATION_MS = 24_000;
/** How far the clock of a host may be ahead, in ms: what the users' platform has jumps of. */
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

void test('a time that a host saw goes before one that a clock ahead tells', () => {
  const seen = createRollout(4_000, true);
  const ahead = createRollout(4_000 + AHEAD_MS, false);
  seen.mergeAge(ahead.createDigest(0));
  assert.equal(seen.elapsedMs, 4_000);
  ahead.mergeAge(seen.createDigest(0));
  assert.equal(ahead.elapsedMs, 4_000);
  ahead.mergeAge({elapsedMs: 4_000 + AHEAD_MS, isSeen: false});
  assert.equal(ahead.elapsedMs, 4_000);
});

void test('of times that hosts saw the longest holds, and a sum tells it', () => {
  const early = createRollout(3_000, true);
  const late = createRollout(2_000, true);
  const ahead = createRollout(9_000, false);
  const sum = [ahead, late, early]
    .map(rollout => rollout.createDigest(0))
    .reduce(mergeRolloutDigests);
  assert.equal(sum.elapsedMs, 3_000);
  assert.equal(sum.isSeen, true);
  late.mergeAge(sum);
  assert.equal(late.elapsedMs, 3_000);
  early.mergeAge(late.createDigest(0));
  assert.equal(early.elapsedMs, 3_000);
});

void test('after a restart of all hosts the longest time that clocks tell holds', () => {
  const one = createRollout(0, false);
  one.mergeAge({elapsedMs: 6_000, isSeen: false});
  one.mergeAge({elapsedMs: 5_000, isSeen: false});
  assert.equal(one.elapsedMs, 6_000);
});

void test('a host that only has a time of day waits for others before it goes by it', () => {
  const started = createRollout(16_000, false);
  const shareOf = () => started.shareOf({hasSession: true});
  assert.equal(started.isAgeKnown, false);
  assert.equal(shareOf(), 0);
  clock.advance(299);
  assert.equal(shareOf(), 0);
  clock.advance(1);
  assert.equal(started.elapsedMs, 16_300);
  assert.ok(shareOf() > 0);
});

void test('what another host tells of an age goes before the own time of day, also before the wait is over', () => {
  const started = createRollout(16_000, false);
  started.mergeAge({elapsedMs: 0, isSeen: false});
  assert.equal(started.isAgeKnown, false);
  started.mergeAge({elapsedMs: 9_000, isSeen: false});
  assert.equal(started.elapsedMs, 9_000);
  started.applyWallClockElapsed(16_000);
  assert.equal(started.elapsedMs, 9_000);
});
