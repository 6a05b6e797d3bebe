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
const RETURN_TURN_MS = 1_000;

const uncertain = (start: number) => ({start, weight: 0.3});
const CRASHES = [1, 2, 3, 4].map(uncertain);

function create(clock: VirtualClock, rank = 0): Quarantine {
  return new Quarantine({clock, rankOf: () => rank});
}

/** Time until a host may send a copy, in ms; undefined if the request is not on probation. */
function askForTrial(host: Quarantine, fingerprint = SUSPECT) {
  return host.askForTrial(fingerprint)?.ms;
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
    assert.equal(askForTrial(quarantine, fingerprint), HOLD_MS);
  }
  assert.equal(quarantine.probationCount, 2);
  assert.equal(askForTrial(quarantine, 'another'), undefined);
});

void test('a request that was at crashes of one moment only comes back at one host after the other, without a refusal', () => {
  const clock = new VirtualClock();
  const hosts = [0, 1, 2].map(rank => create(clock, rank));
  for (const host of hosts) host.recordCrashes(SUSPECT, CRASHES);
  for (const host of hosts) assert.equal(askForTrial(host), undefined);
  clock.advance(EPISODE_MS);
  const waits = hosts.map(host => host.askForTrial(SUSPECT));
  const ms = [0, RETURN_TURN_MS, 2 * RETURN_TURN_MS];
  assert.deepEqual(
    waits,
    ms.map(wait => ({ms: wait, isBrief: true})),
  );
});

void test('a stream whose runners crash before its head is held back for seconds, and never quarantined', () => {
  const clock = new VirtualClock();
  const [one, other] = [create(clock), create(clock)];
  const waiting = (start: number) => ({start, weight: 0});
  one.recordCrashes(SUSPECT, [waiting(1), waiting(2)]);
  gossip(one, other);
  clock.advance(EPISODE_MS);
  other.recordCrashes(SUSPECT, [waiting(3)]);
  gossip(other, one);
  for (const host of [one, other]) {
    assert.equal(askForTrial(host), HOLD_MS);
    assert.equal(host.remainingMs(SUSPECT), 0);
    host.review();
    assert.equal(host.remainingMs(SUSPECT), 0);
  }
});

void test('a host sends one copy of a request on probation, until it knows what became of it', () => {
  const clock = new VirtualClock();
  const quarantine = create(clock);
  crashTwice(quarantine, clock);
  clock.advance(HOLD_MS);
  assert.equal(askForTrial(quarantine), 0);
  quarantine.noteSent(SUSPECT);
  assert.equal(askForTrial(quarantine), HOLD_MS);
});

void test('a crash of a trial holds a request back for long', () => {
  const clock = new VirtualClock();
  const quarantine = create(clock);
  crashTwice(quarantine, clock);
  clock.advance(HOLD_MS);
  quarantine.recordCrashes(SUSPECT, [uncertain(4)]);
  assert.equal(askForTrial(quarantine), 600_000);
});

void test('hosts try a request one after the other, also if nobody asked for it for long', () => {
  const clock = new VirtualClock();
  const hosts = [0, 1, 2, 3].map(rank => create(clock, rank));
  crashTwice(hosts[0], clock);
  for (const host of hosts.slice(1)) gossip(hosts[0], host);
  clock.advance(60_000);
  const waits = hosts.map(host => askForTrial(host));
  assert.deepEqual(waits, [0, TURN_MS, 2 * TURN_MS, 2 * TURN_MS]);
});

void test('a response ends the probation at all hosts', () => {
  const clock = new VirtualClock();
  const [one, other] = [create(clock), create(clock, 1)];
  crashTwice(one, clock);
  gossip(one, other);
  one.recordAnswer(SUSPECT);
  gossip(one, other);
  assert.equal(askForTrial(one), undefined);
  assert.equal(askForTrial(other), undefined);
});

void test('crashes that are not confirmed hold a request back at their host only, and for a time', () => {
  const clock = new VirtualClock();
  const [one, other] = [create(clock), create(clock)];
  one.notePresence(SUSPECT, 1);
  one.notePresence(SUSPECT, 2);
  clock.advance(EPISODE_MS);
  one.notePresence(SUSPECT, 3);
  assert.equal(askForTrial(one), HOLD_MS);
  gossip(one, other);
  assert.equal(askForTrial(other), undefined);
  clock.advance(10_001);
  one.review();
  assert.equal(askForTrial(one), undefined);
});

void test('crashes that no host can confirm hold a request back at the hosts that cannot confirm theirs', () => {
  const clock = new VirtualClock();
  const one = create(clock);
  const doubtful = new Quarantine({clock, isDoubtful: () => true});
  const certain = new Quarantine({clock, isDoubtful: () => false});
  one.notePresence(SUSPECT, 1);
  clock.advance(EPISODE_MS);
  for (const start of [2, 3]) one.notePresence(SUSPECT, start);
  gossip(one, doubtful);
  gossip(one, certain);
  clock.advance(EPISODE_MS);
  assert.ok(askForTrial(doubtful) !== undefined);
  assert.equal(askForTrial(certain), undefined);
});

void test('crashes that are confirmed late put a request on probation, and do not quarantine it', () => {
  const clock = new VirtualClock();
  const quarantine = create(clock);
  const starts = [1, 2, 3];
  for (const start of starts) quarantine.notePresence(SUSPECT, start);
  clock.advance(EPISODE_MS);
  const crashes = starts.map(start => ({start, weight: 1}));
  quarantine.recordCrashes(SUSPECT, crashes);
  assert.equal(quarantine.remainingMs(SUSPECT), 0);
  assert.ok(quarantine.isOnProbation(SUSPECT));
});

void test('a host does not wait for its turn while no host can take one', () => {
  const clock = new VirtualClock();
  let isDoubtful = true;
  const options = {clock, rankOf: () => 1, isDoubtful: () => isDoubtful};
  const quarantine = new Quarantine(options);
  crashTwice(quarantine, clock);
  clock.advance(HOLD_MS);
  assert.equal(askForTrial(quarantine), TURN_MS);
  clock.advance(TURN_MS);
  isDoubtful = false;
  assert.equal(askForTrial(quarantine), TURN_MS);
});

void test('a crash that is taken back does not hold a request back', () => {
  const clock = new VirtualClock();
  const quarantine = create(clock);
  crashTwice(quarantine, clock);
  quarantine.retractCrash(3);
  assert.equal(askForTrial(quarantine), undefined);
});
