import assert from 'node:assert/strict';
import {test} from 'node:test';
import {VirtualClock} from '@bayspool/kernel';
import {PriorityAdmission} from './priority_admission.js';

/**
 * Sends one call of each of these priorities at each step, as far as they are admitted.
 *
 * @returns the number of calls sent, by priority
 */
function simulate(priorities: readonly number[], perSecond: number): number[] {
  const clock = new VirtualClock();
  const windowMs = 4_000;
  const admission = new PriorityAdmission({clock, windowMs});
  const sentAt: number[] = [];
  const sent = priorities.map(() => 0);
  for (let now = 0; now < 40_000; now += 100) {
    priorities.forEach((priority, index) => {
      admission.recordRequested(priority);
      const inWindow = sentAt.filter(at => at > now - windowMs).length;
      if (inWindow >= (perSecond * windowMs) / 1_000) return;
      if (!admission.canAdmit(priority, perSecond)) return;
      admission.recordSent(priority);
      sentAt.push(now);
      sent[index] += 1;
    });
    clock.advance(100);
  }
  return sent;
}

void test('under scarce capacity urgent calls are admitted first, whichever comes first', () => {
  const [low, high] = simulate([2, 0], 5);
  assert.ok(high > 3 * low, `${high} urgent, ${low} others`);
  assert.ok(low > 0);
});

void test('the other calls use the capacity that urgent ones leave', () => {
  const [low, high] = simulate([1, 0], 15);
  assert.ok(high >= 350, `${high} of 400`);
  assert.ok(low >= 150, `${low}`);
});

void test('no capacity is reserved without urgent calls, nor if the runners are unlimited', () => {
  assert.ok(simulate([2], 5)[0] >= 190);
  assert.deepEqual(simulate([2, 0], Infinity), [400, 400]);
});
