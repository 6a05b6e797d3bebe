// A good version was taken back 21.8 s after its order: lately 5 of its 33 answers on one route had failed, and 9 of 432 of the old
// version. In all 16 of its 278 had, and 722 of the old one's 15,069: runners failed by turns, some seconds more than others.
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
  const note = (isFresh: boolean, ended: number, failed: number) => {
    for (let i = 0; i < ended; i++)
      rollout.evidence.recordEnded(CELL, isFresh, i < failed, TIMES);
  };
  const goOn = () => {
    clock.advance(500);
    rollout.judge();
  };
  return {rollout, note, goOn};
}

void test('failures that come by turns at both versions do not take a good one back', () => {
  const {rollout, note, goOn} = createRollout();
  note(false, 14_637, 713);
  note(true, 245, 11);
  for (let i = 0; i < 8; i++) goOn();
  note(false, 432, 9);
  note(true, 33, 5);
  goOn();
  assert.equal(rollout.isBad, false);
});

void test('a version that fails from now on is found within the next answers', () => {
  const {rollout, note, goOn} = createRollout();
  note(false, 14_637, 713);
  note(true, 245, 11);
  for (let i = 0; i < 8; i++) goOn();
  note(false, 432, 9);
  note(true, 33, 16);
  goOn();
  assert.equal(rollout.isBad, true);
});
