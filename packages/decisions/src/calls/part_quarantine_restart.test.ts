// Guards against a restarted host that sends runners a prompt part which the other hosts already hold back.
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {VirtualClock} from '@bayspool/kernel';
import {PartQuarantine} from './part_quarantine.js';

const CRASHES = 5;
/** Time after which the host that saw the crashes holds the part back, in ms. */
const SETTLED_MS = 1_000;

function createQuarantinedPart() {
  const clock = new VirtualClock();
  const observer = new PartQuarantine({clock});
  for (let start = 0; start < CRASHES; start++)
    observer.recordCrash(['shared', 'bad'], start);
  clock.advance(SETTLED_MS);
  assert.ok(observer.remainingMs('bad') > 0);
  const digest = observer.createDigest();
  assert.ok(digest);
  return {clock, digest};
}

void test('a host that has just started holds a quarantined part back as soon as it hears of it', () => {
  const {clock, digest} = createQuarantinedPart();
  const restarted = new PartQuarantine({clock});
  restarted.mergeDigest(digest);
  assert.ok(restarted.remainingMs('bad') > 0);
  assert.equal(restarted.remainingMs('shared'), 0);
});

void test('a whole response releases a quarantined part at a host that has just started', () => {
  const {clock, digest} = createQuarantinedPart();
  const restarted = new PartQuarantine({clock});
  restarted.mergeDigest({...digest, answered: ['bad']});
  restarted.mergeDigest({suspects: {}, answered: ['bad']});
  assert.equal(restarted.remainingMs('bad'), 0);
});

void test('a digest that is older than a whole response holds no part back at its next crashes', () => {
  const {clock, digest} = createQuarantinedPart();
  const host = new PartQuarantine({clock});
  host.mergeDigest(digest);
  host.recordAnswer(['shared', 'bad']);
  host.mergeDigest(digest);
  for (let start = CRASHES; start < 2 * CRASHES; start++)
    host.recordCrash(['shared', 'worse'], start);
  assert.equal(host.remainingMs('shared'), 0);
  clock.advance(SETTLED_MS);
  assert.equal(host.remainingMs('shared'), 0);
  assert.ok(host.remainingMs('worse') > 0);
});
