import assert from 'node:assert/strict';
import {test} from 'node:test';
import {VirtualClock} from '@bayspool/kernel';
import {PrefixCacheIndex} from './prefix_cache_index.js';

const prompt = {
  tokens: 700,
  parts: [
    {id: 'shared', tokens: 400},
    {id: 'tenant', tokens: 200},
    {id: 'own', tokens: 100},
  ],
};
const other = {
  ...prompt,
  parts: [...prompt.parts.slice(0, 2), {id: 'x', tokens: 100}],
};

void test('parts that a runner processed for another host count as cached, except the last one', () => {
  const clock = new VirtualClock();
  const here = new PrefixCacheIndex({clock});
  const there = new PrefixCacheIndex({clock});
  there.notePrompt('one', 'small', prompt);
  here.addKeysFromPeers('one', there.collectRecentKeys().one);
  assert.equal(here.createCachedTokenCounter('small', other)('one'), 600);
  assert.equal(here.createCachedTokenCounter('small', prompt)('one'), 600);
  assert.equal(here.createCachedTokenCounter('large', prompt)('one'), 0);
  assert.equal(here.createCachedTokenCounter('small', prompt)('two'), 0);
  assert.equal(there.createCachedTokenCounter('small', prompt)('one'), 700);
});

void test('a part is shared once and for a short time, and only the newest if there are too many', () => {
  const clock = new VirtualClock();
  const index = new PrefixCacheIndex({clock});
  index.notePrompt('one', 'small', prompt);
  index.notePrompt('one', 'small', other);
  assert.equal(index.collectRecentKeys().one.length, 2);
  clock.advance(10_000);
  assert.deepEqual(index.collectRecentKeys(), {});
  for (let i = 0; i < 500; i++)
    index.notePrompt('one', 'small', {
      tokens: 2,
      parts: [
        {id: `part-${i}`, tokens: 1},
        {id: `own-${i}`, tokens: 1},
      ],
    });
  assert.ok(index.collectRecentKeys().one.length <= 64);
});

void test('parts received from another host are not passed on', () => {
  const clock = new VirtualClock();
  const index = new PrefixCacheIndex({clock});
  index.addKeysFromPeers('one', [1, 2, 3]);
  assert.deepEqual(index.collectRecentKeys(), {});
});
