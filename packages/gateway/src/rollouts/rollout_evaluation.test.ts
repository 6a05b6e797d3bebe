// Guards against a rollback of a good version, seen 21.8 s after its order: 5 of its 33 recent responses on one route had failed, and
// 9 of the old version's 432. In all, 16 of its 278 responses and 722 of the old version's 15,069 had failed: the runners of both
// versions failed in bursts.
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {VirtualClock} from '@bayspool/kernel';
import {EventLog} from '../observability/event_log.js';
import {Rollout} from './rollout.js';

const CELL = 'route/model';
const TIMES = {firstMs: 60, expectedMs: 45};

function createRollout() {
  const clock = new VirtualClock();
  const rollout = new Rollout({
    clock,
    log: new EventLog({clock, host: 'host', sink: {write: () => undefined}}),
    order: {service: 'svc', version: 'v2', durationMs: 24_000, offset: 1},
    elapsedMs: 0,
    isSeen: true,
    statesFrom: 0,
  });
  const record = (isFresh: boolean, ended: number, failed: number) => {
    for (let i = 0; i < ended; i++)
      rollout.evidence.recordEnded(CELL, isFresh, i < failed, TIMES);
  };
  const evaluateNext = () => {
    clock.advance(500);
    rollout.evaluate();
  };
  return {rollout, record, evaluateNext};
}

void test('bursts of failures on both versions do not roll back a good one', () => {
  const {rollout, record, evaluateNext} = createRollout();
  record(false, 14_637, 713);
  record(true, 245, 11);
  for (let i = 0; i < 8; i++) evaluateNext();
  record(false, 432, 9);
  record(true, 33, 5);
  evaluateNext();
  assert.equal(rollout.isBad, false);
});

void test('a version that begins to fail is detected within the next responses', () => {
  const {rollout, record, evaluateNext} = createRollout();
  record(false, 14_637, 713);
  record(true, 245, 11);
  for (let i = 0; i < 8; i++) evaluateNext();
  record(false, 432, 9);
  record(true, 33, 16);
  evaluateNext();
  assert.equal(rollout.isBad, true);
});
