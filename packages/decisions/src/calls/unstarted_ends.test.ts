/** Guards against blaming a stream without a head for the end of a runner that had another request, whichever host knows of it. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {VirtualClock} from '@bayspool/kernel';
import {Quarantine} from './quarantine.js';
import type {QuarantineDigest} from './quarantine_digest.js';
import {ReleaseReason} from './release_reason.js';

const WAITING = 'waiting';
const FATAL = 'fatal';
const BYSTANDER = 'bystander';
const STARTS = [1, 2, 3];
/** Time between two ends, and from the last one until it counts, in ms. */
const PAUSE_MS = 1_000;

/** A digest after its way over the wire. */
function gossipFrom(from: Quarantine): QuarantineDigest {
  return JSON.parse(JSON.stringify(from.createDigest())) as QuarantineDigest;
}

/** Records ends a second apart, and reviews them once all hosts can have told of them. */
function recordEnds(
  quarantine: Quarantine,
  clock: VirtualClock,
  starts = STARTS,
): void {
  for (const start of starts) {
    quarantine.recordUnstartedEnd(WAITING, start);
    clock.advance(PAUSE_MS);
    quarantine.review();
  }
}

function isHeld(quarantine: Quarantine, fingerprint = WAITING): boolean {
  return quarantine.remainingMs(fingerprint) > 0;
}

void test('a stream without a head that was the only request at three ends is held back, at other hosts as well', () => {
  const clock = new VirtualClock();
  const [one, other] = [new Quarantine({clock}), new Quarantine({clock})];
  for (const start of STARTS) {
    recordEnds(one, clock, [start]);
    other.mergeDigest(gossipFrom(one));
  }
  assert.ok(isHeld(one));
  assert.ok(isHeld(other));
});

void test('ends that are not a second old count for nothing, as other hosts may still tell who was there', () => {
  const clock = new VirtualClock();
  const quarantine = new Quarantine({clock});
  for (const start of [...STARTS, 4])
    quarantine.recordUnstartedEnd(WAITING, start);
  clock.advance(PAUSE_MS - 1);
  quarantine.review();
  assert.equal(quarantine.weightOf(WAITING), 0);
  assert.ok(quarantine.isSuspect(WAITING));
});

void test('a stream without a head is not held back for runners that end together', () => {
  const clock = new VirtualClock();
  const quarantine = new Quarantine({clock});
  for (const start of [...STARTS, 4])
    quarantine.recordUnstartedEnd(WAITING, start);
  for (let i = 0; i < 5; i++) {
    clock.advance(PAUSE_MS);
    quarantine.review();
  }
  assert.equal(isHeld(quarantine), false);
  recordEnds(quarantine, clock, [5]);
  assert.ok(isHeld(quarantine), 'but for one more end later');
});

for (const teller of ['this host', 'another host'])
  void test(`a stream without a head is not held back for ends at which ${teller} had another request`, () => {
    const clock = new VirtualClock();
    const [one, other] = [new Quarantine({clock}), new Quarantine({clock})];
    const withOther = teller === 'this host' ? one : other;
    for (const start of [...STARTS, 4, 5]) {
      withOther.recordPresence(`${FATAL} ${start}`, start);
      one.mergeDigest(gossipFrom(other));
      recordEnds(one, clock, [start]);
    }
    assert.equal(isHeld(one), false);
  });

void test('what another host tells too late takes the end back, and the hold', () => {
  const clock = new VirtualClock();
  const [one, other] = [new Quarantine({clock}), new Quarantine({clock})];
  const third = new Quarantine({clock});
  const released: string[] = [];
  for (const host of [one, third])
    host.onChange({
      onQuarantined: () => undefined,
      onReleased: (_, reason) => released.push(reason),
    });
  for (const start of STARTS) {
    recordEnds(one, clock, [start]);
    third.mergeDigest(gossipFrom(one));
  }
  assert.ok(isHeld(one) && isHeld(third));
  other.recordPresence(FATAL, 2);
  for (const host of [one, third]) host.mergeDigest(gossipFrom(other));
  assert.equal(isHeld(one) || isHeld(third), false);
  assert.deepEqual(released, [ReleaseReason.SHARED, ReleaseReason.SHARED]);
  for (let i = 0; i < 3; i++) {
    one.mergeDigest(gossipFrom(third));
    third.mergeDigest(gossipFrom(one));
    clock.advance(PAUSE_MS);
  }
  assert.equal(isHeld(one) || isHeld(third), false);
});

void test('a stream without a head is held back for ends whose other requests were answered since, at any host', () => {
  const clock = new VirtualClock();
  const [one, other] = [new Quarantine({clock}), new Quarantine({clock})];
  for (const start of STARTS) {
    other.recordPresence(`${BYSTANDER} ${start}`, start);
    one.mergeDigest(gossipFrom(other));
    recordEnds(one, clock, [start]);
  }
  assert.equal(isHeld(one), false);
  for (const start of STARTS) {
    other.recordAnswer(`${BYSTANDER} ${start}`);
    one.mergeDigest(gossipFrom(other));
    clock.advance(PAUSE_MS);
  }
  assert.ok(isHeld(one));
});

void test('an answer from before an end says nothing of the request at that end', () => {
  const clock = new VirtualClock();
  const [one, other] = [new Quarantine({clock}), new Quarantine({clock})];
  for (const start of [...STARTS, 4]) {
    other.recordAnswer(BYSTANDER);
    clock.advance(1);
    other.recordPresence(BYSTANDER, start);
    one.mergeDigest(gossipFrom(other));
    recordEnds(one, clock, [start]);
    if (start < 4) assert.equal(one.weightOf(WAITING), start - 1);
  }
});

void test('an answer to a stream without a head clears it, also when another host has it', () => {
  const clock = new VirtualClock();
  const [one, other] = [new Quarantine({clock}), new Quarantine({clock})];
  recordEnds(one, clock);
  other.mergeDigest(gossipFrom(one));
  assert.ok(isHeld(one));
  other.recordAnswer(WAITING);
  one.mergeDigest(gossipFrom(other));
  assert.equal(isHeld(one) || isHeld(other), false);
});

void test('a runner that is there after all takes its end back before it counts', () => {
  const clock = new VirtualClock();
  const quarantine = new Quarantine({clock});
  recordEnds(quarantine, clock, [1, 2]);
  quarantine.recordUnstartedEnd(WAITING, 3);
  quarantine.retractCrash(3);
  clock.advance(PAUSE_MS);
  quarantine.review();
  assert.equal(quarantine.weightOf(WAITING), 2);
});

void test('with more requests at an end than are kept, nobody counts as the only one', () => {
  const clock = new VirtualClock();
  const quarantine = new Quarantine({clock});
  for (let i = 0; i < 40; i++) {
    quarantine.recordPresence(`${BYSTANDER} ${i}`, 1);
    quarantine.recordAnswer(`${BYSTANDER} ${i}`);
  }
  recordEnds(quarantine, clock, [1]);
  clock.advance(PAUSE_MS);
  quarantine.review();
  assert.equal(quarantine.weightOf(WAITING), 0);
});
