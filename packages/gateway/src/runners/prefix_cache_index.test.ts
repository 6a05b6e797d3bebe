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

void test('parts that another host had read count as kept, the last one aside', () => {
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

void test('a part is told once, for a short time, and the newest of too many', () => {
  const clock = new VirtualClock();
  const book = new PrefixCacheIndex({clock});
  book.notePrompt('one', 'small', prompt);
  book.notePrompt('one', 'small', other);
  assert.equal(book.collectRecentKeys().one.length, 2);
  clock.advance(10_000);
  assert.deepEqual(book.collectRecentKeys(), {});
  for (let i = 0; i < 500; i++)
    book.notePrompt('one', 'small', {
      tokens: 2,
      parts: [
        {id: `part-${i}`, tokens: 1},
        {id: `own-${i}`, tokens: 1},
      ],
    });
  assert.ok(book.collectRecentKeys().one.length <= 64);
});

void test('what another host told is not told on as if it were own', () => {
  const clock = new VirtualClock();
  const book = new PrefixCacheIndex({clock});
  book.addKeysFromPeers('one', [1, 2, 3]);
  assert.deepEqual(book.collectRecentKeys(), {});
});
