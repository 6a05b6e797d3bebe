import assert from 'node:assert/strict';
import {test} from 'node:test';
import {VirtualClock} from '@bayspool/kernel';
import {DigestDeltaTracker} from './digest_delta_tracker.js';
import {Membership} from './membership.js';
import type {PlaceDigest} from './place_digest.js';

const PAUSE_MS = 1_000;

function digestOf(place: string, offset: number): PlaceDigest {
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

function membershipOf(clock: VirtualClock): Membership {
  return new Membership({
    clock,
    self: 'b-1',
    place: 'b',
    suspectAfterMs: 5_000,
    placeSuspectAfterMs: 5_000,
    forgetAfterMs: 60_000,
  });
}

void test('a part that the receiver has is named only, and one that changed is sent', () => {
  const clock = new VirtualClock();
  const courier = new DigestDeltaTracker({
    clock,
    minIntervalMs: PAUSE_MS,
    ageOnlyIntervalMs: PAUSE_MS,
  });
  const membership = membershipOf(clock);
  const [first] = courier.createDeltas('b-1', 'b', [digestOf('a', 1)]);
  assert.ok(first.hosts && first.sums);
  assert.ok(membership.mergeDelta(first));
  assert.deepEqual(courier.createDeltas('b-1', 'b', [digestOf('a', 2)]), []);
  clock.advance(PAUSE_MS);
  const [second] = courier.createDeltas('b-1', 'b', [digestOf('a', 2)]);
  assert.equal(second.hosts, undefined);
  assert.ok(second.sums);
  assert.ok(membership.mergeDelta(second));
  assert.deepEqual(membership.listDigests()[0].sums.offsets, {2: 1});
  assert.equal(membership.listDigests()[0].hosts.length, 1);
});

void test('a receiver that lacks a part says so, and gets it after the sender forgot the place', () => {
  const clock = new VirtualClock();
  const courier = new DigestDeltaTracker({
    clock,
    minIntervalMs: PAUSE_MS,
    ageOnlyIntervalMs: PAUSE_MS,
  });
  courier.createDeltas('b-1', 'b', [digestOf('a', 1)]);
  clock.advance(PAUSE_MS);
  const fresh = membershipOf(clock);
  const [named] = courier.createDeltas('b-1', 'b', [digestOf('a', 1)]);
  assert.equal(fresh.mergeDelta(named), false);
  assert.deepEqual(fresh.listDigests(), []);
  courier.forgetPlace('b-1', 'a');
  const [whole] = courier.createDeltas('b-1', 'b', [digestOf('a', 1)]);
  assert.ok(fresh.mergeDelta(whole));
});

void test('a digest that differs in its age only is passed on less often', () => {
  const clock = new VirtualClock();
  const courier = new DigestDeltaTracker({
    clock,
    minIntervalMs: PAUSE_MS,
    ageOnlyIntervalMs: 5 * PAUSE_MS,
  });
  courier.createDeltas('b-1', 'b', [digestOf('a', 1)]);
  clock.advance(2 * PAUSE_MS);
  assert.equal(courier.createDeltas('b-1', 'b', [digestOf('a', 1)]).length, 0);
  assert.equal(courier.createDeltas('b-1', 'b', [digestOf('a', 2)]).length, 1);
  clock.advance(5 * PAUSE_MS);
  assert.equal(courier.createDeltas('b-1', 'b', [digestOf('a', 2)]).length, 1);
});

void test('older news never replace younger ones, and a silent place counts as cut off', () => {
  const clock = new VirtualClock();
  clock.advance(10_000);
  const membership = membershipOf(clock);
  const news = (offset: number, ageMs: number) => ({
    ...new DigestDeltaTracker({
      clock,
      minIntervalMs: 0,
      ageOnlyIntervalMs: 0,
    }).createDeltas('b-1', 'b', [digestOf('a', offset)])[0],
    ageMs,
  });
  membership.mergeDelta(news(2, 0));
  membership.mergeDelta(news(1, 3_000));
  assert.deepEqual(membership.listDigests()[0].sums.offsets, {2: 1});
  clock.advance(6_000);
  assert.deepEqual(membership.listDigests(), []);
  assert.ok(membership.computePlaceAges().a >= 6_000);
});
