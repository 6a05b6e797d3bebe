import assert from 'node:assert/strict';
import {test} from 'node:test';
import {VirtualClock} from '@bayspool/kernel';
import {PriorityAdmission} from './priority_admission.js';

/** One call of each of these priorities at each step, of which what the rule allows is sent. @returns how many, by priority */
function play(priorities: readonly number[], perSecond: number): number[] {
  const clock = new VirtualClock();
  const windowMs = 4_000;
  const rule = new PriorityAdmission({clock, windowMs});
  const sentAt: number[] = [];
  const sent = priorities.map(() => 0);
  for (let now = 0; now < 40_000; now += 100) {
    priorities.forEach((priority, index) => {
      rule.recordRequested(priority);
      const inWindow = sentAt.filter(at => at > now - windowMs).length;
      if (inWindow >= (perSecond * windowMs) / 1_000) return;
      if (!rule.canAdmit(priority, perSecond)) return;
      rule.recordSent(priority);
      sentAt.push(now);
      sent[index] += 1;
    });
    clock.advance(100);
  }
  return sent;
}

void test('where room is short, urgent calls get it first, whoever comes first', () => {
  const [low, high] = play([2, 0], 5);
  assert.ok(high > 3 * low, `${high} urgent, ${low} others`);
  assert.ok(low > 0);
});

void test('what urgent calls leave is used by the others', () => {
  const [low, high] = play([1, 0], 15);
  assert.ok(high >= 350, `${high} of 400`);
  assert.ok(low >= 150, `${low}`);
});

void test('nothing is kept for urgent calls that do not come, nor where nothing bounds the runners', () => {
  assert.ok(play([2], 5)[0] >= 190);
  assert.deepEqual(play([2, 0], Infinity), [400, 400]);
});
