import assert from 'node:assert/strict';
import {test} from 'node:test';
import {VirtualClock} from '@bayspool/kernel';
import {ReadingBacklog} from './reading_backlog.js';

void test('reading is worked off while time passes, in turn with that of others', () => {
  const clock = new VirtualClock();
  let othersMs = 0;
  const backlog = new ReadingBacklog({clock, othersMs: () => othersMs});
  backlog.add(1_000);
  clock.advance(400);
  assert.equal(backlog.ms, 600);
  othersMs = 600;
  clock.advance(200);
  assert.equal(backlog.ms, 500);
});

void test('a request without a first event always has something left', () => {
  const clock = new VirtualClock();
  const backlog = new ReadingBacklog({clock, othersMs: () => 0});
  backlog.add(1_000);
  clock.advance(5_000);
  assert.equal(backlog.ms, 100);
  backlog.add(500);
  backlog.remove(1_000);
  assert.equal(backlog.ms, 500);
  backlog.remove(500);
  assert.equal(backlog.ms, 0);
});
