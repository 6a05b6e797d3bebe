import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ReadingRates} from './reading_rates.js';

void test('a host that starts under load still learns that a model reads faster than guessed', () => {
  const rates = new ReadingRates();
  const guess = rates.of('small');
  for (let i = 0; i < 20; i++) rates.learn('small', 1_000, 6, false);
  assert.ok(rates.of('small') < guess / 2, `${rates.of('small')}`);
});

void test('waiting behind other work is not taken for slow reading', () => {
  const rates = new ReadingRates();
  for (let i = 0; i < 20; i++) rates.learn('large', 1_000, 50, true);
  const known = rates.of('large');
  for (let i = 0; i < 20; i++) rates.learn('large', 1_000, 2_000, false);
  assert.equal(rates.of('large'), known);
});
