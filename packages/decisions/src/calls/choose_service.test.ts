import assert from 'node:assert/strict';
import {test} from 'node:test';
import {chooseService} from './choose_service.js';
import {sampleRoute} from './testing/sample_route.js';

void test('many keys are distributed by weight, and a key keeps its service', () => {
  const targets = [
    {service: 'nine', weight: 90},
    {service: 'one', weight: 10},
  ];
  const split = {...sampleRoute, targets};
  const keys = Array.from({length: 2_000}, (_, i) => `key-${i}`);
  const ones = keys.filter(key => chooseService(split, key) === 'one');
  assert.ok(ones.length > 140 && ones.length < 260, `${ones.length}`);
  assert.equal(chooseService(split, 'key-1'), chooseService(split, 'key-1'));
  const none = {
    ...sampleRoute,
    targets: [...targets, {service: 'none', weight: 0}],
  };
  assert.ok(keys.every(key => chooseService(none, key) !== 'none'));
});
