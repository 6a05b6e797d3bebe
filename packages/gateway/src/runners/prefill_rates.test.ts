import assert from 'node:assert/strict';
import {test} from 'node:test';
import {PrefillRates} from './prefill_rates.js';

void test('a host that starts under load still learns that a model reads faster than guessed', () => {
  const rates = new PrefillRates();
  const guess = rates.getMsPerToken('small');
  for (let i = 0; i < 20; i++) rates.learn('small', 1_000, 6, false);
  assert.ok(
    rates.getMsPerToken('small') < guess / 2,
    `${rates.getMsPerToken('small')}`,
  );
});

void test('waiting behind other work is not taken for slow reading', () => {
  const rates = new PrefillRates();
  for (let i = 0; i < 20; i++) rates.learn('large', 1_000, 50, true);
  const known = rates.getMsPerToken('large');
  for (let i = 0; i < 20; i++) rates.learn('large', 1_000, 2_000, false);
  assert.equal(rates.getMsPerToken('large'), known);
});

void test('measurements that other work made longer, or a kept part shorter, do not decide', () => {
  const rates = new PrefillRates();
  for (let i = 0; i < 300; i++) {
    const disturbed = i % 5 === 0 ? 900 : i % 7 === 0 ? 5 : 120;
    rates.learn('small', 1_000, disturbed, true);
  }
  const rate = rates.getMsPerToken('small');
  assert.ok(rate > 0.08 && rate < 0.13, `${rate}`);
});

void test('a model that was not measured is guessed from one that was, by their costs', () => {
  const costs = new Map([
    ['small', 1],
    ['large', 10],
  ]);
  const rates = new PrefillRates({costFactorOf: model => costs.get(model)});
  rates.learn('small', 1_000, 120, true);
  assert.ok(
    Math.abs(rates.getMsPerToken('large') - 10 * rates.getMsPerToken('small')) <
      1e-9,
  );
});
