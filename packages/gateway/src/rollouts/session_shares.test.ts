import assert from 'node:assert/strict';
import {test} from 'node:test';
import {SessionShares} from './session_shares.js';

void test('a larger share holds a second after it was made, at the hosts that were told too', () => {
  const one = new SessionShares();
  const other = new SessionShares();
  one.raise(0.1, 5_000);
  other.take(one.told);
  for (const shares of [one, other]) {
    assert.equal(shares.at(5_999), 0.02);
    assert.equal(shares.at(6_000), 0.1);
  }
});

void test('a share never falls, and holds from when the first host says', () => {
  const one = new SessionShares();
  const other = new SessionShares();
  one.raise(0.3, 5_000);
  other.raise(0.3, 5_500);
  other.raise(0.1, 6_000);
  one.take(other.told);
  other.take(one.told);
  assert.deepEqual(one.told, other.told);
  assert.equal(one.at(6_000), 0.3);
  assert.equal(other.at(9_000), 0.3);
});

void test('a host of an earlier version tells no shares', () => {
  const shares = new SessionShares();
  shares.raise(0.1, 1_000);
  shares.take(undefined);
  assert.equal(shares.at(2_000), 0.1);
});
