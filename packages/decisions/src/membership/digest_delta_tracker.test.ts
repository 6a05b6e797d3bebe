import assert from 'node:assert/strict';
import {test} from 'node:test';
import {VirtualClock} from '@bayspool/kernel';
import {DigestDeltaTracker} from './digest_delta_tracker.js';
import {Membership} from './membership.js';
import type {PlaceDigest} from './place_digest.js';

const INTERVAL_MS = 1_000;

function createDigest(place: string, offset: number): PlaceDigest {
  return {
    place,
    ageMs: 0,
    hosts: [
      {
        id: `${place}-1`,
        address: '127.0.0.1:1',
        incarnation: 1,
        boot: 'b',
        leaving: false,
      },
    ],
    sums: {
      offsets: {[offset]: 1},
      running: {},
      demand: {},
      evidence: {},
      suspects: [],
    },
  };
}

function createMembership(clock: VirtualClock): Membership {
  return new Membership({
    clock,
    self: 'b-1',
    place: 'b',
    suspectAfterMs: 5_000,
    placeSuspectAfterMs: 5_000,
    forgetAfterMs: 60_000,
  });
}

void test('a part that the receiver has is sent by hash only, and a changed part in full', () => {
  const clock = new VirtualClock();
  const tracker = new DigestDeltaTracker({
    clock,
    minIntervalMs: INTERVAL_MS,
    ageOnlyIntervalMs: INTERVAL_MS,
  });
  const membership = createMembership(clock);
  const [first] = tracker.createDeltas('b-1', 'b', [createDigest('a', 1)]);
  assert.ok(first.hosts && first.sums);
  assert.ok(membership.mergeDelta(first));
  assert.deepEqual(
    tracker.createDeltas('b-1', 'b', [createDigest('a', 2)]),
    [],
  );
  clock.advance(INTERVAL_MS);
  const [second] = tracker.createDeltas('b-1', 'b', [createDigest('a', 2)]);
  assert.equal(second.hosts, undefined);
  assert.ok(second.sums);
  assert.ok(membership.mergeDelta(second));
  assert.deepEqual(membership.listDigests()[0].sums.offsets, {2: 1});
  assert.equal(membership.listDigests()[0].hosts.length, 1);
});

void test('a receiver that lacks a part reports it, and gets it after the sender forgets the place', () => {
  const clock = new VirtualClock();
  const tracker = new DigestDeltaTracker({
    clock,
    minIntervalMs: INTERVAL_MS,
    ageOnlyIntervalMs: INTERVAL_MS,
  });
  tracker.createDeltas('b-1', 'b', [createDigest('a', 1)]);
  clock.advance(INTERVAL_MS);
  const fresh = createMembership(clock);
  const [hashOnly] = tracker.createDeltas('b-1', 'b', [createDigest('a', 1)]);
  assert.equal(fresh.mergeDelta(hashOnly), false);
  assert.deepEqual(fresh.listDigests(), []);
  tracker.forgetPlace('b-1', 'a');
  const [whole] = tracker.createDeltas('b-1', 'b', [createDigest('a', 1)]);
  assert.ok(fresh.mergeDelta(whole));
});

void test('a digest of which only the age differs is sent less often', () => {
  const clock = new VirtualClock();
  const tracker = new DigestDeltaTracker({
    clock,
    minIntervalMs: INTERVAL_MS,
    ageOnlyIntervalMs: 5 * INTERVAL_MS,
  });
  tracker.createDeltas('b-1', 'b', [createDigest('a', 1)]);
  clock.advance(2 * INTERVAL_MS);
  assert.equal(
    tracker.createDeltas('b-1', 'b', [createDigest('a', 1)]).length,
    0,
  );
  assert.equal(
    tracker.createDeltas('b-1', 'b', [createDigest('a', 2)]).length,
    1,
  );
  clock.advance(5 * INTERVAL_MS);
  assert.equal(
    tracker.createDeltas('b-1', 'b', [createDigest('a', 2)]).length,
    1,
  );
});

void test('an older digest never replaces a newer one, and a silent place counts as unreachable', () => {
  const clock = new VirtualClock();
  clock.advance(10_000);
  const membership = createMembership(clock);
  const createDelta = (offset: number, ageMs: number) => ({
    ...new DigestDeltaTracker({
      clock,
      minIntervalMs: 0,
      ageOnlyIntervalMs: 0,
    }).createDeltas('b-1', 'b', [createDigest('a', offset)])[0],
    ageMs,
  });
  membership.mergeDelta(createDelta(2, 0));
  membership.mergeDelta(createDelta(1, 3_000));
  assert.deepEqual(membership.listDigests()[0].sums.offsets, {2: 1});
  clock.advance(6_000);
  assert.deepEqual(membership.listDigests(), []);
  assert.ok(membership.computePlaceAges().a >= 6_000);
});
