import assert from 'node:assert/strict';
import {beforeEach, test} from 'node:test';
import {VirtualClock} from '@bayspool/kernel';
import {EventLog} from '../observability/event_log.js';
import {Topic} from '../records/topic.js';
import {TopicMirror} from '../records/topic_mirror.js';
import type {HostEntry} from './host_entry.js';
import {LoadBoard} from './load_board.js';
import {unheardRefusals} from '../testing/unheard_refusals.js';
import {Roster} from './roster.js';
import {SyncDesk} from './sync_desk.js';

const digest = {runners: {r: [1, 10, 0, 0] as const}, rollouts: {}};
let clock: VirtualClock;

function host(name: string, place: string): HostEntry {
  return {name, place, address: '127.0.0.1:1', capacity: 1};
}

function createDesk(name: string): {desk: SyncDesk; roster: Roster} {
  const mirror = new TopicMirror(Topic.HOSTS);
  const log = new EventLog({clock, host: name, sink: {write: () => undefined}});
  const refusals = unheardRefusals();
  const self = host(name, 'a');
  const roster = new Roster({clock, log, mirror, refusals, self});
  const board = new LoadBoard({clock, place: 'a', own: () => digest});
  const desk = new SyncDesk({
    clock,
    board,
    roster,
    mirrors: [mirror],
    freshness: mirror,
  });
  return {desk, roster};
}

beforeEach(() => {
  clock = new VirtualClock();
});

void test('hosts of a place hear at once which places its reader lost', async () => {
  const reader = createDesk('a1');
  const other = createDesk('a2');
  reader.roster.noteHeard(host('b1', 'b'));
  const answer = reader.desk.answer(other.desk.request(400, 'a'));
  clock.advance(1);
  reader.roster.noteFailure('b1', 'silent');
  clock.advance(50);
  other.desk.adopt(await answer, clock.now());
  assert.deepEqual([...other.roster.lostPlaces()], ['b']);
});

void test('other places are asked without what this host has, and are not told of lost ones', async () => {
  const {desk, roster} = createDesk('a1');
  roster.noteHeard(host('c1', 'c'));
  roster.noteFailure('c1', 'silent');
  const empty = {runners: {}, rollouts: {}};
  assert.deepEqual(desk.request(0, 'b').digest, empty);
  assert.deepEqual(desk.request(0).digest, empty);
  assert.deepEqual(desk.request(0, 'a').digest, digest);
  const from = host('b1', 'b');
  const answer = await desk.answer({
    from,
    digest: empty,
    positions: {},
    waitMs: 0,
  });
  assert.equal(answer.lostPlaces, undefined);
});
