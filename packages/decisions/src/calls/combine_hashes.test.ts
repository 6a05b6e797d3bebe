import assert from 'node:assert/strict';
import {test} from 'node:test';
import {hashToUint32} from './hash_to_uint32.js';
import {combineHashes} from './combine_hashes.js';

const RUNNERS = 65;
const KEYS = 6_500;

/** The name with the highest score for a key. */
function homeOf(key: number, names: readonly number[]): number {
  const scores = names.map(name => combineHashes(key, name));
  return names[scores.indexOf(Math.max(...scores))];
}

void test('each name gets its share of the keys and keeps them when another name is removed', () => {
  const names = Array.from({length: RUNNERS}, (_, i) => hashToUint32(`i-${i}`));
  const keys = Array.from({length: KEYS}, (_, i) => hashToUint32(`part ${i}`));
  const counts = new Map<number, number>();
  for (const key of keys) {
    const home = homeOf(key, names);
    counts.set(home, (counts.get(home) ?? 0) + 1);
  }
  assert.equal(counts.size, RUNNERS);
  assert.ok(Math.max(...counts.values()) < (2 * KEYS) / RUNNERS);
  assert.ok(Math.min(...counts.values()) > KEYS / RUNNERS / 2);
  const [removed, ...rest] = names;
  for (const key of keys) {
    const home = homeOf(key, names);
    if (home !== removed) assert.equal(homeOf(key, rest), home);
  }
});
