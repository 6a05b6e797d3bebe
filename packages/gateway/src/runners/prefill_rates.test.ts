import assert from 'node:assert/strict';
import {test} from 'node:test';
import {PrefillRates} from './prefill_rates.js';

void test('a host that starts under load still learns that a model is faster than estimated', () => {
  const rates = new PrefillRates();
  const estimate = rates.getMsPerToken('small');
  for (let i = 0; i < 20; i++) rates.recordSample('small', 1_000, 6, false);
  assert.ok(
    rates.getMsPerToken('small') < estimate / 2,
    `${rates.getMsPerToken('small')}`,
  );
});

void test('waiting for other work does not count as slow prefill', () => {
  const rates = new PrefillRates();
  for (let i = 0; i < 20; i++) rates.recordSample('large', 1_000, 50, true);
  const known = rates.getMsPerToken('large');
  for (let i = 0; i < 20; i++) rates.recordSample('large', 1_000, 2_000, false);
  assert.equal(rates.getMsPerToken('large'), known);
});

void test('outliers caused by other work or by cached parts have little effect', () => {
  const rates = new PrefillRates();
  for (let i = 0; i < 300; i++) {
    const disturbed = i % 5 === 0 ? 900 : i % 7 === 0 ? 5 : 120;
    rates.recordSample('small', 1_000, disturbed, true);
  }
  const rate = rates.getMsPerToken('small');
  assert.ok(rate > 0.08 && rate < 0.13, `${rate}`);
});

void test('the time of an unmeasured model is estimated from a measured one by their costs', () => {
  const costs = new Map([
    ['small', 1],
    ['large', 10],
  ]);
  const rates = new PrefillRates({costFactorOf: model => costs.get(model)});
  rates.recordSample('small', 1_000, 120, true);
  assert.ok(
    Math.abs(rates.getMsPerToken('large') - 10 * rates.getMsPerToken('small')) <
      1e-9,
  );
});
