import assert from 'node:assert/strict';
import {test} from 'node:test';
import {VirtualClock} from '@bayspool/kernel';
import fc from 'fast-check';
import {Quarantine} from './quarantine.js';
import type {QuarantineDigest} from './quarantine_digest.js';

const POISON = 'f';
const MINUTE_MS = 60_000;
const QUARANTINE_MS = 10 * MINUTE_MS;
const PROPAGATION_MS = 1_000;

const certain = (start: number) => ({start, weight: 1});
const uncertain = (start: number) => ({start, weight: 0.3});
/** Number of uncertain crashes that weigh as much as three certain ones. */
const MANY_CRASHES = 10;

function create(clock = new VirtualClock()): Quarantine {
  return new Quarantine({clock});
}

/** A digest after its way over the wire. */
function gossipFrom(from: Quarantine): QuarantineDigest {
  return JSON.parse(JSON.stringify(from.createDigest())) as QuarantineDigest;
}

void test('three runner crashes quarantine a request, two do not', () => {
  const quarantine = create();
  quarantine.recordCrashes(POISON, [certain(1), certain(2)]);
  assert.equal(quarantine.remainingMs(POISON), 0);
  quarantine.recordCrashes(POISON, [certain(3)]);
  assert.equal(quarantine.remainingMs(POISON), QUARANTINE_MS);
  assert.equal(quarantine.remainingMs('another'), 0);
});

void test('a crash counts once, however many copies of the request the runner had', () => {
  const quarantine = create();
  for (let copy = 0; copy < 9; copy++)
    quarantine.recordCrashes(POISON, [certain(1)]);
  assert.equal(quarantine.remainingMs(POISON), 0);
});

void test('hosts that gossip in any order, and more than once, quarantine the same requests', () => {
  const HOST_COUNT = 4;
  const crash = fc.record({
    host: fc.nat(HOST_COUNT - 1),
    request: fc.constantFrom('a', 'b', 'c'),
    start: fc.nat(8),
  });
  const exchange = fc.tuple(fc.nat(HOST_COUNT - 1), fc.nat(HOST_COUNT - 1));
  fc.assert(
    fc.property(fc.array(crash), fc.array(exchange), (crashes, exchanges) => {
      const hosts = Array.from({length: HOST_COUNT}, () => create());
      for (const {host, request, start} of crashes)
        hosts[host].recordCrashes(request, [certain(start)]);
      for (const [from, to] of exchanges)
        hosts[to].mergeDigest(gossipFrom(hosts[from]));
      // Finally every host receives every digest.
      for (let round = 0; round < HOST_COUNT; round++)
        hosts.forEach((host, i) =>
          hosts[(i + 1) % HOST_COUNT].mergeDigest(gossipFrom(host)),
        );
      for (const request of ['a', 'b', 'c']) {
        const starts = crashes.filter(crash => crash.request === request);
        const count = new Set(starts.map(({start}) => start)).size;
        const quarantined = hosts.filter(
          host => host.remainingMs(request) > 0,
        ).length;
        // Fewer than three crashes never quarantine; more do, unless another request explains them.
        if (count < 3) assert.equal(quarantined, 0);
        const isAlone = crashes.every(crash => crash.request === request);
        if (count >= 3 && isAlone) assert.equal(quarantined, HOST_COUNT);
      }
    }),
  );
});

void test('a request that was answered successfully is released, at all hosts', () => {
  const [one, other] = [create(), create()];
  one.recordCrashes(POISON, [certain(1), certain(2), certain(3)]);
  other.mergeDigest(gossipFrom(one));
  assert.ok(other.remainingMs(POISON) > 0);
  other.recordAnswer(POISON);
  one.mergeDigest(gossipFrom(other));
  assert.equal(one.remainingMs(POISON), 0);
  // The same gossip arrives again and no longer counts.
  other.mergeDigest(gossipFrom(one));
  assert.equal(other.remainingMs(POISON), 0);
  assert.equal(other.weightOf(POISON), 0);
});

void test('of requests that failed together only the one that also crashes a runner without the other is quarantined', () => {
  const clock = new VirtualClock();
  const quarantine = create(clock);
  const review = () => {
    clock.advance(PROPAGATION_MS);
    quarantine.review();
  };
  for (let start = 0; start < MANY_CRASHES; start++) {
    quarantine.recordCrashes('bystander', [uncertain(start)]);
    quarantine.recordCrashes(POISON, [uncertain(start)]);
  }
  review();
  assert.deepEqual(
    quarantine.quarantinedFingerprints(),
    [],
    'the cause is still unknown',
  );
  quarantine.recordCrashes(POISON, [uncertain(MANY_CRASHES)]);
  review();
  assert.deepEqual(quarantine.quarantinedFingerprints(), [POISON]);
  for (let start = 0; start < 4; start++) review();
  assert.deepEqual(
    quarantine.quarantinedFingerprints(),
    [POISON],
    'the crashes of the other are explained',
  );
});

void test('uncertain crashes are evaluated after all hosts had time to report them', () => {
  const clock = new VirtualClock();
  const quarantine = create(clock);
  for (let start = 0; start < MANY_CRASHES; start++)
    quarantine.recordCrashes(POISON, [uncertain(start)]);
  quarantine.review();
  assert.deepEqual(quarantine.quarantinedFingerprints(), []);
  clock.advance(PROPAGATION_MS);
  quarantine.review();
  assert.deepEqual(quarantine.quarantinedFingerprints(), [POISON]);
});

void test('stored quarantines are restored after a restart, in whichever order they are read', () => {
  const ends = {a: [1, 2, 3], b: [2, 4, 5, 6]};
  for (const order of [['a', 'b'] as const, ['b', 'a'] as const]) {
    const quarantine = create();
    for (const request of order)
      quarantine.restoreRecord(request, ends[request].map(certain));
    assert.deepEqual([...quarantine.quarantinedFingerprints()].sort(), [
      'a',
      'b',
    ]);
  }
});

void test('a stored record with too few crashes does not quarantine, nor does one of a released request', () => {
  const quarantine = create();
  quarantine.restoreRecord(POISON, [certain(1), certain(2)]);
  assert.deepEqual(quarantine.quarantinedFingerprints(), []);
  quarantine.restoreRecord(POISON, [certain(1), certain(2), certain(3)]);
  quarantine.recordAnswer(POISON);
  quarantine.restoreRecord(POISON, [certain(1), certain(2), certain(3)]);
  assert.deepEqual(quarantine.quarantinedFingerprints(), []);
});

void test('a quarantine expires, even if another host still gossips about the request', () => {
  const clock = new VirtualClock();
  const [one, late] = [create(clock), create(clock)];
  one.recordCrashes(POISON, [certain(1), certain(2), certain(3)]);
  clock.advance(MINUTE_MS);
  late.mergeDigest(gossipFrom(one));
  clock.advance(QUARANTINE_MS - MINUTE_MS);
  one.review();
  one.mergeDigest(gossipFrom(late));
  assert.equal(one.remainingMs(POISON), 0);
  clock.advance(MINUTE_MS);
  late.review();
  late.mergeDigest(gossipFrom(one));
  one.mergeDigest(gossipFrom(late));
  assert.equal(one.remainingMs(POISON) + late.remainingMs(POISON), 0);
  one.recordCrashes(POISON, [certain(4), certain(5), certain(6)]);
  assert.ok(one.remainingMs(POISON) > 0);
});

void test('suspects and digests are bounded, and quarantined requests take precedence', () => {
  const quarantine = create();
  quarantine.recordCrashes(POISON, [certain(1), certain(2), certain(3)]);
  for (let i = 0; i < 20_000; i++)
    quarantine.recordCrashes(`r${i}`, [certain(9)]);
  assert.ok(quarantine.remainingMs(POISON) > 0);
  assert.equal(quarantine.weightOf('r0'), 0, 'evicted');
  assert.equal(quarantine.weightOf('r19999'), 1);
  const {ends} = quarantine.createDigest();
  assert.equal(Object.keys(ends).length, 64);
  assert.ok(POISON in ends);
});

void test('the number of quarantined requests is bounded', () => {
  const quarantine = create();
  for (let i = 0; i < 1_000; i++)
    quarantine.recordCrashes(
      `r${i}`,
      [0, 1, 2].map(n => certain(3 * i + n)),
    );
  assert.equal(quarantine.quarantinedFingerprints().length, 200);
});

/** Time after which crashed runners are back, in ms. */
const RESTART_MS = 3_000;

void test('a request that is not streamed is quarantined when the restarted runners crash again', () => {
  const clock = new VirtualClock();
  const quarantine = create(clock);
  const crash = (start: number, ...requests: string[]) => {
    for (const request of requests)
      quarantine.recordCrashes(request, [uncertain(start)]);
  };
  crash(1, POISON);
  clock.advance(100);
  crash(2, POISON, 'a', 'b');
  clock.advance(700);
  crash(3, POISON, 'c');
  clock.advance(PROPAGATION_MS);
  quarantine.review();
  assert.deepEqual(
    quarantine.quarantinedFingerprints(),
    [],
    'it may only have been retried with the others',
  );
  clock.advance(RESTART_MS);
  crash(4, POISON, 'd');
  assert.deepEqual(quarantine.quarantinedFingerprints(), [POISON]);
  const other = create(clock);
  other.mergeDigest(gossipFrom(quarantine));
  assert.deepEqual(
    other.quarantinedFingerprints(),
    [POISON],
    'learned from the first host',
  );
});

void test('requests that are retried together when all runners crash, and come again, are not quarantined', () => {
  const clock = new VirtualClock();
  const quarantine = create(clock);
  for (let turn = 0; turn < 3; turn++) {
    for (const request of ['a', 'b'])
      quarantine.recordCrashes(request, [
        uncertain(2 * turn),
        uncertain(2 * turn + 1),
      ]);
    clock.advance(RESTART_MS);
    quarantine.review();
  }
  assert.deepEqual(quarantine.quarantinedFingerprints(), []);
});
