import assert from 'node:assert/strict';
import {test} from 'node:test';
import {VirtualClock} from '@bayspool/kernel';
import {EventLog} from '../observability/event_log.js';
import {mergeRollouts} from './merge_rollouts.js';
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
  seen.noteElapsed(ahead.digest(0));
  assert.equal(seen.elapsedMs, 4_000);
  ahead.noteElapsed(seen.digest(0));
  assert.equal(ahead.elapsedMs, 4_000);
  ahead.noteElapsed({elapsedMs: 4_000 + AHEAD_MS, isSeen: false});
  assert.equal(ahead.elapsedMs, 4_000);
});

void test('of times that hosts saw the longest holds, and a sum tells it', () => {
  const early = createRollout(3_000, true);
  const late = createRollout(2_000, true);
  const ahead = createRollout(9_000, false);
  const sum = [ahead, late, early]
    .map(rollout => rollout.digest(0))
    .reduce(mergeRollouts);
  assert.equal(sum.elapsedMs, 3_000);
  assert.equal(sum.isSeen, true);
  late.noteElapsed(sum);
  assert.equal(late.elapsedMs, 3_000);
  early.noteElapsed(late.digest(0));
  assert.equal(early.elapsedMs, 3_000);
});

void test('after a restart of all hosts the longest time that clocks tell holds', () => {
  const one = createRollout(0, false);
  one.noteElapsed({elapsedMs: 6_000, isSeen: false});
  one.noteElapsed({elapsedMs: 5_000, isSeen: false});
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
  started.noteElapsed({elapsedMs: 0, isSeen: false});
  assert.equal(started.isAgeKnown, false);
  started.noteElapsed({elapsedMs: 9_000, isSeen: false});
  assert.equal(started.elapsedMs, 9_000);
  started.guessElapsed(16_000);
  assert.equal(started.elapsedMs, 9_000);
});
