/** Guards against holding back what was at ends of runners that turn out not to have ended. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {VirtualClock} from '@bayspool/kernel';
import {PartQuarantine} from './part_quarantine.js';
import {Quarantine} from './quarantine.js';
import {ReleaseReason} from './release_reason.js';

const REQUEST = 'f';
const PARTS = ['shared', 'own'];
const SETTLED_MS = 1_000;
/** Time after which no host tells of an end that it knew before, in ms. */
const LATER_MS = 60_000;
const crash = (start: number) => ({start, weight: 1});

void test('a request is released when a runner is back whose end counted, and held back by a further one', () => {
  const quarantine = new Quarantine({clock: new VirtualClock()});
  const reasons: ReleaseReason[] = [];
  quarantine.onChange({
    onQuarantined: () => undefined,
    onReleased: (_, reason) => reasons.push(reason),
  });
  quarantine.recordCrashes(REQUEST, [1, 2, 3].map(crash));
  assert.ok(quarantine.remainingMs(REQUEST) > 0);
  quarantine.retractCrash(2);
  assert.equal(quarantine.remainingMs(REQUEST), 0);
  assert.deepEqual(reasons, [ReleaseReason.RETRACTED]);
  quarantine.recordCrashes(REQUEST, [crash(4)]);
  assert.ok(quarantine.remainingMs(REQUEST) > 0, 'two others still count');
});

void test('a request stays held back if enough ends remain', () => {
  const quarantine = new Quarantine({clock: new VirtualClock()});
  quarantine.recordCrashes(REQUEST, [1, 2, 3].map(crash));
  quarantine.recordCrashes(REQUEST, [crash(4)]);
  quarantine.retractCrash(2);
  assert.ok(quarantine.remainingMs(REQUEST) > 0);
});

void test('a retracted end does not count again when another host tells of it later', () => {
  const clock = new VirtualClock();
  const [host, other] = [new Quarantine({clock}), new Quarantine({clock})];
  other.recordCrashes(REQUEST, [1, 2].map(crash));
  host.recordCrashes(REQUEST, [crash(3)]);
  host.retractCrash(1);
  host.mergeDigest(other.createDigest());
  assert.equal(host.weightOf(REQUEST), 2);
  assert.equal(host.remainingMs(REQUEST), 0);
});

void test('a part is released when a runner is back whose end counted, and told of it again it stays so', () => {
  const clock = new VirtualClock();
  const hosts = [new PartQuarantine({clock}), new PartQuarantine({clock})];
  for (const start of [1, 2, 3, 4])
    for (const host of hosts) host.recordCrash(PARTS, start);
  clock.advance(SETTLED_MS);
  const [host, other] = hosts;
  assert.ok(host.remainingMs('own') > 0);
  assert.ok(other.remainingMs('own') > 0);
  host.retractCrash(1);
  assert.equal(host.remainingMs('own'), 0);
  const digest = other.createDigest();
  assert.ok(digest);
  host.mergeDigest(digest);
  clock.advance(SETTLED_MS);
  assert.equal(host.remainingMs('own'), 0);
});

void test('a runner that was back and ends later counts again, against another request', () => {
  const clock = new VirtualClock();
  const quarantine = new Quarantine({clock});
  quarantine.retractCrash(1);
  clock.advance(LATER_MS);
  quarantine.recordCrashes(REQUEST, [crash(1)]);
  assert.equal(quarantine.weightOf(REQUEST), 1);
});
