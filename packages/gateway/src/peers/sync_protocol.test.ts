import assert from 'node:assert/strict';
import {beforeEach, test} from 'node:test';
import {VirtualClock} from '@bayspool/kernel';
import type {HostLimits} from '../parts/host_limits.js';
import {EventLog} from '../observability/event_log.js';
import {StoreHealth} from '../records/store_health.js';
import {Topic} from '../records/topic.js';
import {TopicMirror} from '../records/topic_mirror.js';
import type {HostEntry} from './host_entry.js';
import {LoadDigestRegistry} from './load_digest_registry.js';
import {unheardRefusals} from '../testing/unheard_refusals.js';
import {HostDirectory} from './host_directory.js';
import {SyncProtocol} from './sync_protocol.js';

const digest = {runners: {r: [1, 10, 0, 0] as const}, rollouts: {}};
let clock: VirtualClock;

function host(name: string, place: string): HostEntry {
  return {name, place, address: '127.0.0.1:1', capacity: 1};
}

function createProtocol(name: string, isUrgentFor = () => false) {
  const mirror = new TopicMirror(Topic.HOSTS);
  const log = new EventLog({clock, host: name, sink: {write: () => undefined}});
  const refusals = unheardRefusals();
  const self = host(name, 'a');
  const roster = new HostDirectory({clock, log, mirror, refusals, self});
  const board = new LoadDigestRegistry({
    clock,
    place: 'a',
    createOwnDigest: () => digest,
  });
  const limits = {isUrgentFor, take: () => undefined, news: () => []};
  const desk = new SyncProtocol({
    clock,
    limits: limits as unknown as HostLimits,
    storeHealth: new StoreHealth({clock, log}),
    loadDigests: board,
    hostDirectory: roster,
    mirrors: [mirror],
    freshnessMirror: mirror,
  });
  return {desk, roster, mirror};
}

beforeEach(() => {
  clock = new VirtualClock();
});

void test('hosts of a place hear at once which places its reader lost', async () => {
  const reader = createProtocol('a1');
  const other = createProtocol('a2');
  reader.roster.recordRequest(host('b1', 'b'));
  const answer = reader.desk.answerRequest(other.desk.request(400, 'a'));
  clock.advance(1);
  reader.roster.recordFailure('b1', 'silent');
  clock.advance(50);
  other.desk.applyResponse(await answer, clock.now());
  assert.deepEqual([...other.roster.findLostPlaces()], ['b']);
});

void test('other places are asked without what this host has, and are not told of lost ones', async () => {
  const {desk, roster} = createProtocol('a1');
  roster.recordRequest(host('c1', 'c'));
  roster.recordFailure('c1', 'silent');
  const empty = {runners: {}, rollouts: {}};
  assert.deepEqual(desk.request(0, 'b').digest, empty);
  assert.deepEqual(desk.request(0).digest, empty);
  assert.deepEqual(desk.request(0, 'a').digest, digest);
  const from = host('b1', 'b');
  const answer = await desk.answerRequest({
    from,
    digest: empty,
    positions: {},
    waitMs: 0,
  });
  assert.equal(answer.lostPlaces, undefined);
});

void test('proofs that follow one another fast are told together, records at once', async () => {
  const reader = createProtocol('a1');
  const other = createProtocol('a2');
  const page = {records: [], next: 0, isWhole: true};
  reader.mirror.load(page, clock.now());
  let answers = 0;
  const ask = async () => {
    for (;;) {
      const sentAt = clock.now();
      const answer = await reader.desk.answerRequest(
        other.desk.request(1_200, 'a'),
      );
      other.desk.applyResponse(answer, sentAt);
      answers += 1;
    }
  };
  void ask();
  for (let i = 0; i < 40; i++) {
    await clock.advanceSettled(100);
    reader.mirror.prove(clock.now());
  }
  assert.ok(answers >= 8 && answers <= 13, `${answers} answers in 4 s`);
  const before = answers;
  const record = {key: 'k', value: '{}', offset: 0};
  reader.mirror.extend(
    {records: [record], next: 1, isWhole: true},
    clock.now(),
  );
  await clock.advanceSettled(20);
  assert.equal(answers, before + 1);
});

void test('hosts that wait hear at once of a runner in need, also those that ask just then', async () => {
  let isInNeed = false;
  const reader = createProtocol('a1', () => isInNeed);
  const other = createProtocol('a2');
  let answers = 0;
  const ask = async () => {
    await reader.desk.answerRequest(other.desk.request(1_200, 'a'));
    answers += 1;
  };
  void ask();
  await clock.advanceSettled(20);
  assert.equal(answers, 0);
  isInNeed = true;
  reader.desk.publishLimits();
  await clock.advanceSettled(20);
  assert.equal(answers, 1);
  void ask();
  await clock.advanceSettled(1);
  assert.equal(answers, 2);
});
