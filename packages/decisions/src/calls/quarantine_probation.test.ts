/** Guards against a request that crashes runners and hides behind others, and against an innocent one that is held back for it. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {VirtualClock} from '@bayspool/kernel';
import {Quarantine} from './quarantine.js';
import type {QuarantineDigest} from './quarantine_digest.js';

const SUSPECT = 's';
const OTHER = 'o';
const EPISODE_MS = 3_000;
const HOLD_MS = 2_000;
const TURN_MS = 1_500;

const uncertain = (start: number) => ({start, weight: 0.3});

function create(clock: VirtualClock, rank = 0): Quarantine {
  return new Quarantine({clock, rankOf: () => rank});
}

function gossip(from: Quarantine, to: Quarantine): void {
  const text = JSON.stringify(from.createDigest());
  to.mergeDigest(JSON.parse(text) as QuarantineDigest);
}

/** Two requests are present at the same crashes, in two episodes. */
function crashTwice(quarantine: Quarantine, clock: VirtualClock): void {
  for (const fingerprint of [SUSPECT, OTHER])
    quarantine.recordCrashes(fingerprint, [uncertain(1), uncertain(2)]);
  clock.advance(EPISODE_MS);
  for (const fingerprint of [SUSPECT, OTHER])
    quarantine.recordCrashes(fingerprint, [uncertain(3)]);
}

void test('requests that are present at the same crashes again and again are each held back for seconds', () => {
  const clock = new VirtualClock();
  const quarantine = create(clock);
  crashTwice(quarantine, clock);
  for (const fingerprint of [SUSPECT, OTHER]) {
    assert.equal(quarantine.remainingMs(fingerprint), 0);
    assert.equal(quarantine.askForTrial(fingerprint), HOLD_MS);
  }
  assert.equal(quarantine.probationCount, 2);
  assert.equal(quarantine.askForTrial('another'), 0);
});

void test('a request that was at crashes of one moment only is not held back', () => {
  const clock = new VirtualClock();
  const quarantine = create(clock);
  const crashes = [1, 2, 3, 4].map(uncertain);
  quarantine.recordCrashes(SUSPECT, crashes);
  clock.advance(EPISODE_MS);
  assert.equal(quarantine.askForTrial(SUSPECT), 0);
});

void test('a host sends one copy of a request on probation, until it knows what became of it', () => {
  const clock = new VirtualClock();
  const quarantine = create(clock);
  crashTwice(quarantine, clock);
  clock.advance(HOLD_MS);
  assert.equal(quarantine.askForTrial(SUSPECT), 0);
  quarantine.noteSent(SUSPECT);
  assert.equal(quarantine.askForTrial(SUSPECT), HOLD_MS);
});

void test('each crash of a trial prolongs the hold three times', () => {
  const clock = new VirtualClock();
  const quarantine = create(clock);
  crashTwice(quarantine, clock);
  for (const holdMs of [3 * HOLD_MS, 9 * HOLD_MS]) {
    clock.advance(holdMs);
    quarantine.recordCrashes(SUSPECT, [uncertain(100 + holdMs)]);
    assert.equal(quarantine.askForTrial(SUSPECT), holdMs);
  }
});

void test('hosts try a request one after the other, also if nobody asked for it for long', () => {
  const clock = new VirtualClock();
  const hosts = [0, 1, 2, 3].map(rank => create(clock, rank));
  crashTwice(hosts[0], clock);
  for (const host of hosts.slice(1))
    for (const start of [1, 2, 3]) {
      host.recordCrashes(SUSPECT, [uncertain(start)]);
      clock.advance(EPISODE_MS);
    }
  clock.advance(60_000);
  const waits = hosts.map(host => host.askForTrial(SUSPECT));
  assert.deepEqual(waits, [0, TURN_MS, 2 * TURN_MS, 2 * TURN_MS]);
});

void test('a response ends the probation at all hosts', () => {
  const clock = new VirtualClock();
  const [one, other] = [create(clock), create(clock, 1)];
  crashTwice(one, clock);
  gossip(one, other);
  one.recordAnswer(SUSPECT);
  gossip(one, other);
  assert.equal(one.askForTrial(SUSPECT), 0);
  assert.equal(other.askForTrial(SUSPECT), 0);
});

void test('crashes that are not confirmed hold a request back at their host only, and for a time', () => {
  const clock = new VirtualClock();
  const [one, other] = [create(clock), create(clock)];
  one.notePresence(SUSPECT, 1);
  one.notePresence(SUSPECT, 2);
  clock.advance(EPISODE_MS);
  one.notePresence(SUSPECT, 3);
  assert.equal(one.askForTrial(SUSPECT), HOLD_MS);
  gossip(one, other);
  assert.equal(other.askForTrial(SUSPECT), 0);
  clock.advance(10_001);
  one.review();
  assert.equal(one.askForTrial(SUSPECT), 0);
});

void test('a crash that is taken back does not hold a request back', () => {
  const clock = new VirtualClock();
  const quarantine = create(clock);
  crashTwice(quarantine, clock);
  quarantine.retractCrash(3);
  assert.equal(quarantine.askForTrial(SUSPECT), 0);
});
