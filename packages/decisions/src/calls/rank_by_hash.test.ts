import assert from 'node:assert/strict';
import {test} from 'node:test';
import {rankByHash} from './rank_by_hash.js';

void test('hosts rank alike, and losing one moves no other', () => {
  const names = ['a', 'b', 'c', 'd'];
  const ranked = rankByHash('key', names);
  assert.deepEqual(rankByHash('key', [...names].reverse()), ranked);
  const without = rankByHash(
    'key',
    names.filter(name => name !== ranked[1]),
  );
  assert.deepEqual(without, [ranked[0], ranked[2], ranked[3]]);
});
