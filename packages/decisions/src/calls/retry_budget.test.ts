import assert from 'node:assert/strict';
import {test} from 'node:test';
import {VirtualClock} from '@bayspool/kernel';
import {RetryBudget} from './retry_budget.js';

void test('repeats stay within the ratio over the window, also with several hosts', () => {
  const clock = new VirtualClock();
  const options = {
    clock,
    ratio: () => 0.5,
    extra: () => 8,
    windowMs: 10_000,
  };
  const budgets = [1, 2].map(
    () => new RetryBudget({...options, hosts: () => 2}),
  );
  let firsts = 0;
  let repeats = 0;
  for (let i = 0; i < 400; i++) {
    clock.advance(20);
    const budget = budgets[i % 2];
    budget.countFirst();
    firsts += 1;
    while (budget.trySpend()) repeats += 1;
  }
  assert.ok(repeats <= firsts * 0.5 + 8, `${repeats} of ${firsts}`);
  assert.ok(repeats > firsts * 0.4, `${repeats} of ${firsts}`);
  clock.advance(20_000);
  assert.ok(budgets[0].left <= 8);
});
