import assert from 'node:assert/strict';
import {test} from 'node:test';
import {VirtualClock} from '@bayspool/kernel';
import {PrefixBook} from './prefix_book.js';

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
  const here = new PrefixBook({clock});
  const there = new PrefixBook({clock});
  there.note('one', 'small', prompt);
  here.takeNews('one', there.news().one);
  assert.equal(here.keptTokensOf('small', other)('one'), 600);
  assert.equal(here.keptTokensOf('small', prompt)('one'), 600);
  assert.equal(here.keptTokensOf('large', prompt)('one'), 0);
  assert.equal(here.keptTokensOf('small', prompt)('two'), 0);
  assert.equal(there.keptTokensOf('small', prompt)('one'), 700);
});

void test('a part is told once, for a short time, and the newest of too many', () => {
  const clock = new VirtualClock();
  const book = new PrefixBook({clock});
  book.note('one', 'small', prompt);
  book.note('one', 'small', other);
  assert.equal(book.news().one.length, 2);
  clock.advance(10_000);
  assert.deepEqual(book.news(), {});
  for (let i = 0; i < 500; i++)
    book.note('one', 'small', {
      tokens: 2,
      parts: [
        {id: `part-${i}`, tokens: 1},
        {id: `own-${i}`, tokens: 1},
      ],
    });
  assert.ok(book.news().one.length <= 64);
});

void test('what another host told is not told on as if it were own', () => {
  const clock = new VirtualClock();
  const book = new PrefixBook({clock});
  book.takeNews('one', [1, 2, 3]);
  assert.deepEqual(book.news(), {});
});
