import assert from 'node:assert/strict';
import {test} from 'node:test';
import {evaluateVersion} from './evaluate_version.js';

void test('a version is bad for failures or slowness beyond chance, not below', () => {
  const old = {ended: 300, failed: 12, slow: 3};
  const sound = {ended: 40, failed: 2, slow: 1};
  assert.equal(evaluateVersion({fresh: sound, old}), 'open');
  assert.equal(evaluateVersion({fresh: {...sound, failed: 14}, old}), 'bad');
  assert.equal(evaluateVersion({fresh: {...sound, slow: 14}, old}), 'bad');
  const common = {ended: 300, failed: 60, slow: 3};
  assert.equal(
    evaluateVersion({fresh: {...sound, failed: 9}, old: common}),
    'open',
  );
  const few = {ended: 5, failed: 5, slow: 0};
  assert.equal(evaluateVersion({fresh: few, old}), 'open');
});

void test('sound versions with a natural share of failures are hardly ever judged bad', () => {
  let seed = 1;
  const random = () => (seed = (seed * 16_807) % 2_147_483_647) / 2_147_483_647;
  let wrong = 0;
  for (let run = 0; run < 200; run++) {
    const fresh = {ended: 0, failed: 0, slow: 0};
    const old = {ended: 0, failed: 0, slow: 0};
    for (let i = 0; i < 1_000; i++) {
      const tally = random() < 0.1 ? fresh : old;
      tally.ended += 1;
      if (random() < 0.14) tally.failed += 1;
      if (evaluateVersion({fresh, old}) === 'open') continue;
      wrong += 1;
      break;
    }
  }
  assert.ok(wrong <= 4, `${wrong} of 200 sound versions judged bad`);
});
