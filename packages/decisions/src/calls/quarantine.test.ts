import assert from 'node:assert/strict';
import {test} from 'node:test';
import {VirtualClock} from '@bayspool/kernel';
import fc from 'fast-check';
import {Quarantine} from './quarantine.js';
import type {QuarantineDigest} from './quarantine_digest.js';

const FATAL = 'f';
const MINUTE_MS = 60_000;
const HOLD_MS = 10 * MINUTE_MS;
const SETTLE_MS = 1_000;

const begun = (start: number) => ({start, weight: 1});
const doubtful = (start: number) => ({start, weight: 0.3});
/** Doubtful ends that together weigh as much as three that leave no doubt. */
const MANY = 10;

function create(clock = new VirtualClock()): Quarantine {
  return new Quarantine({clock});
}

/** What is told when it went through the wire. */
function told(from: Quarantine): QuarantineDigest {
  return JSON.parse(JSON.stringify(from.createDigest())) as QuarantineDigest;
}

void test('three runners that ended under a request are enough, and two are not', () => {
  const quarantine = create();
  quarantine.recordCrashes(FATAL, [begun(1), begun(2)]);
  assert.equal(quarantine.remainingMs(FATAL), 0);
  quarantine.recordCrashes(FATAL, [begun(3)]);
  assert.equal(quarantine.remainingMs(FATAL), HOLD_MS);
  assert.equal(quarantine.remainingMs('another'), 0);
});

void test('one end counts once, however many copies of the request were there', () => {
  const quarantine = create();
  for (let copy = 0; copy < 9; copy++)
    quarantine.recordCrashes(FATAL, [begun(1)]);
  assert.equal(quarantine.remainingMs(FATAL), 0);
});

void test('hosts that tell each other in any order, and more than once, hold the same', () => {
  const HOSTS = 4;
  const end = fc.record({
    host: fc.nat(HOSTS - 1),
    request: fc.constantFrom('a', 'b', 'c'),
    start: fc.nat(8),
  });
  const pass = fc.tuple(fc.nat(HOSTS - 1), fc.nat(HOSTS - 1));
  fc.assert(
    fc.property(fc.array(end), fc.array(pass), (ends, passes) => {
      const hosts = Array.from({length: HOSTS}, () => create());
      for (const {host, request, start} of ends)
        hosts[host].recordCrashes(request, [begun(start)]);
      for (const [from, to] of passes) hosts[to].mergeDigest(told(hosts[from]));
      // In the end each host has heard of all.
      for (let round = 0; round < HOSTS; round++)
        hosts.forEach((host, i) =>
          hosts[(i + 1) % HOSTS].mergeDigest(told(host)),
        );
      for (const request of ['a', 'b', 'c']) {
        const starts = ends.filter(one => one.request === request);
        const count = new Set(starts.map(({start}) => start)).size;
        const held = hosts.filter(host => host.remainingMs(request) > 0).length;
        // Fewer ends than three never hold; more do, unless another request explains them.
        if (count < 3) assert.equal(held, 0);
        const isAlone = ends.every(one => one.request === request);
        if (count >= 3 && isAlone) assert.equal(held, HOSTS);
      }
    }),
  );
});

void test('a request that was answered well is let go, at all hosts', () => {
  const [one, other] = [create(), create()];
  one.recordCrashes(FATAL, [begun(1), begun(2), begun(3)]);
  other.mergeDigest(told(one));
  assert.ok(other.remainingMs(FATAL) > 0);
  other.recordAnswer(FATAL);
  one.mergeDigest(told(other));
  assert.equal(one.remainingMs(FATAL), 0);
  // What was told before comes again, and counts no more.
  other.mergeDigest(told(one));
  assert.equal(other.remainingMs(FATAL), 0);
  assert.equal(other.weightOf(FATAL), 0);
});

void test('of requests that broke off together only the one is held that is there without the other', () => {
  const clock = new VirtualClock();
  const quarantine = create(clock);
  const review = () => {
    clock.advance(SETTLE_MS);
    quarantine.review();
  };
  for (let start = 0; start < MANY; start++) {
    quarantine.recordCrashes('bystander', [doubtful(start)]);
    quarantine.recordCrashes(FATAL, [doubtful(start)]);
  }
  review();
  assert.deepEqual(
    quarantine.quarantinedFingerprints(),
    [],
    'nobody knows which it is',
  );
  quarantine.recordCrashes(FATAL, [doubtful(MANY)]);
  review();
  assert.deepEqual(quarantine.quarantinedFingerprints(), [FATAL]);
  for (let start = 0; start < 4; start++) review();
  assert.deepEqual(
    quarantine.quarantinedFingerprints(),
    [FATAL],
    'its ends are explained',
  );
});

void test('doubtful ends are judged when all hosts had time to tell', () => {
  const clock = new VirtualClock();
  const quarantine = create(clock);
  for (let start = 0; start < MANY; start++)
    quarantine.recordCrashes(FATAL, [doubtful(start)]);
  quarantine.review();
  assert.deepEqual(quarantine.quarantinedFingerprints(), []);
  clock.advance(SETTLE_MS);
  quarantine.review();
  assert.deepEqual(quarantine.quarantinedFingerprints(), [FATAL]);
});

void test('what hosts held back is held again after a start, in whichever order it is read', () => {
  const ends = {a: [1, 2, 3], b: [2, 4, 5, 6]};
  for (const order of [['a', 'b'] as const, ['b', 'a'] as const]) {
    const quarantine = create();
    for (const request of order)
      quarantine.restoreRecord(request, ends[request].map(begun));
    assert.deepEqual([...quarantine.quarantinedFingerprints()].sort(), [
      'a',
      'b',
    ]);
  }
});

void test('a record of too few ends holds nothing back, nor does one that was let go', () => {
  const quarantine = create();
  quarantine.restoreRecord(FATAL, [begun(1), begun(2)]);
  assert.deepEqual(quarantine.quarantinedFingerprints(), []);
  quarantine.restoreRecord(FATAL, [begun(1), begun(2), begun(3)]);
  quarantine.recordAnswer(FATAL);
  quarantine.restoreRecord(FATAL, [begun(1), begun(2), begun(3)]);
  assert.deepEqual(quarantine.quarantinedFingerprints(), []);
});

void test('a request is tried again after a time, also if another host still tells of it', () => {
  const clock = new VirtualClock();
  const [one, late] = [create(clock), create(clock)];
  one.recordCrashes(FATAL, [begun(1), begun(2), begun(3)]);
  clock.advance(MINUTE_MS);
  late.mergeDigest(told(one));
  clock.advance(HOLD_MS - MINUTE_MS);
  one.review();
  one.mergeDigest(told(late));
  assert.equal(one.remainingMs(FATAL), 0);
  clock.advance(MINUTE_MS);
  late.review();
  late.mergeDigest(told(one));
  one.mergeDigest(told(late));
  assert.equal(one.remainingMs(FATAL) + late.remainingMs(FATAL), 0);
  one.recordCrashes(FATAL, [begun(4), begun(5), begun(6)]);
  assert.ok(one.remainingMs(FATAL) > 0);
});

void test('what is remembered and told is bounded, and what is held back goes before the rest', () => {
  const quarantine = create();
  quarantine.recordCrashes(FATAL, [begun(1), begun(2), begun(3)]);
  for (let i = 0; i < 20_000; i++)
    quarantine.recordCrashes(`r${i}`, [begun(9)]);
  assert.ok(quarantine.remainingMs(FATAL) > 0);
  assert.equal(quarantine.weightOf('r0'), 0, 'forgotten');
  assert.equal(quarantine.weightOf('r19999'), 1);
  const {ends} = quarantine.createDigest();
  assert.equal(Object.keys(ends).length, 64);
  assert.ok(FATAL in ends);
});

void test('no more requests are held back than a service can have wrong', () => {
  const quarantine = create();
  for (let i = 0; i < 1_000; i++)
    quarantine.recordCrashes(
      `r${i}`,
      [0, 1, 2].map(n => begun(3 * i + n)),
    );
  assert.equal(quarantine.quarantinedFingerprints().length, 200);
});

/** Later ends come that much after the runners that ended before are back, in ms. */
const BACK_MS = 3_000;

void test('a request that gives no sign of its run is held back when its runners are back and end again', () => {
  const clock = new VirtualClock();
  const quarantine = create(clock);
  const end = (start: number, ...requests: string[]) => {
    for (const request of requests)
      quarantine.recordCrashes(request, [doubtful(start)]);
  };
  end(1, FATAL);
  clock.advance(100);
  end(2, FATAL, 'a', 'b');
  clock.advance(700);
  end(3, FATAL, 'c');
  clock.advance(SETTLE_MS);
  quarantine.review();
  assert.deepEqual(
    quarantine.quarantinedFingerprints(),
    [],
    'it may only have been sent on',
  );
  clock.advance(BACK_MS);
  end(4, FATAL, 'd');
  assert.deepEqual(quarantine.quarantinedFingerprints(), [FATAL]);
  const other = create(clock);
  other.mergeDigest(told(quarantine));
  assert.deepEqual(
    other.quarantinedFingerprints(),
    [FATAL],
    'told by the first one',
  );
});

void test('requests that are sent on together when all runners end, and come again, are not held back', () => {
  const clock = new VirtualClock();
  const quarantine = create(clock);
  for (let turn = 0; turn < 3; turn++) {
    for (const request of ['a', 'b'])
      quarantine.recordCrashes(request, [
        doubtful(2 * turn),
        doubtful(2 * turn + 1),
      ]);
    clock.advance(BACK_MS);
    quarantine.review();
  }
  assert.deepEqual(quarantine.quarantinedFingerprints(), []);
});
