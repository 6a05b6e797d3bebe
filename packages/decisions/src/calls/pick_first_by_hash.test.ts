import assert from 'node:assert/strict';
import {test} from 'node:test';
import {pickFirstByHash} from './pick_first_by_hash.js';
import {rankByHash} from './rank_by_hash.js';

void test('the name picked is the one that ranks first', () => {
  const names = Array.from({length: 50}, (_, i) => `runner-${i}`);
  for (let i = 0; i < 200; i++)
    assert.equal(
      pickFirstByHash(`key-${i}`, names),
      rankByHash(`key-${i}`, names)[0],
    );
  assert.equal(pickFirstByHash('key', []), undefined);
});
