import assert from 'node:assert/strict';
import {test} from 'node:test';
import {VirtualClock} from '@bayspool/kernel';
import {ReadGate} from './read_gate.js';

void test('all waiters share one poll and resume once it finds the gate open', async () => {
  const clock = new VirtualClock();
  let polls = 0;
  let isOpen = false;
  const gate = new ReadGate({
    clock,
    isOpen: () => {
      polls += 1;
      return isOpen;
    },
  });
  const waits = Promise.all([gate.wait(), gate.wait(), gate.wait()]);
  await clock.advanceSettled(1_000);
  assert.equal(polls, 5);
  isOpen = true;
  await clock.advanceSettled(200);
  await waits;
  await clock.advanceSettled(1_000);
  assert.equal(polls, 6);
});

void test('stopping the gate releases all waiters', async () => {
  const clock = new VirtualClock();
  const gate = new ReadGate({clock, isOpen: () => false});
  const wait = gate.wait();
  gate.stop();
  await wait;
});
