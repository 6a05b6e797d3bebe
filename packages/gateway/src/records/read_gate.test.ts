import assert from 'node:assert/strict';
import {test} from 'node:test';
import {VirtualClock} from '@bayspool/kernel';
import {ReadGate} from './read_gate.js';

void test('all that wait share one look, and go on once it finds the gate open', async () => {
  const clock = new VirtualClock();
  let looks = 0;
  let isOpen = false;
  const gate = new ReadGate({
    clock,
    isOpen: () => {
      looks += 1;
      return isOpen;
    },
  });
  const waits = Promise.all([gate.wait(), gate.wait(), gate.wait()]);
  await clock.advanceSettled(1_000);
  assert.equal(looks, 5);
  isOpen = true;
  await clock.advanceSettled(200);
  await waits;
  await clock.advanceSettled(1_000);
  assert.equal(looks, 6);
});

void test('a gate that is stopped lets all go on', async () => {
  const clock = new VirtualClock();
  const gate = new ReadGate({clock, isOpen: () => false});
  const wait = gate.wait();
  gate.stop();
  await wait;
});
