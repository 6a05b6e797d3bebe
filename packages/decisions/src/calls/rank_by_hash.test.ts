import assert from 'node:assert/strict';
import {test} from 'node:test';
import {rankByHash} from './rank_by_hash.js';

void test('the rank does not depend on the order of the names, and removing one moves no other', () => {
  const names = ['a', 'b', 'c', 'd'];
  const ranked = rankByHash('key', names);
  assert.deepEqual(rankByHash('key', [...names].reverse()), ranked);
  const without = rankByHash(
    'key',
    names.filter(name => name !== ranked[1]),
  );
  assert.deepEqual(without, [ranked[0], ranked[2], ranked[3]]);
});
