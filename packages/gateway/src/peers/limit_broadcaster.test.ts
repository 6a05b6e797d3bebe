// While hosts waited for their next exchange each sent a runner in need what it believed in: the readers have to hear at once.
import assert from 'node:assert/strict';
import {beforeEach, test} from 'node:test';
import {VirtualClock} from '@bayspool/kernel';
import type {HostEntry} from './host_entry.js';
import {LimitBroadcaster} from './limit_broadcaster.js';
import type {PeerClient} from './peer_client.js';
import type {HostDirectory} from './host_directory.js';
import type {SyncProtocol} from './sync_protocol.js';

let clock: VirtualClock;
/** Addresses of the hosts that were told, and when. */
let told: string[];
let failures: string[];
let isReached: boolean;

beforeEach(() => {
  clock = new VirtualClock();
  told = [];
  failures = [];
  isReached = true;
});

function host(name: string, place: string): HostEntry {
  return {name, place, address: name, capacity: 1};
}

/** A host of place a, where a1 reads the store; b1 and c1 do so for the other places. */
function createBroadcaster(name: string): LimitBroadcaster {
  const roster = {
    self: host(name, 'a'),
    listOtherPlaces: () => ['b', 'c'],
    findReader: (place: string) => host(`${place}1`, place),
    recordFailure: (peer: string) => failures.push(peer),
  };
  const client = {
    sync: async (address: string) => {
      told.push(`${address} ${clock.now()}`);
      if (!isReached) throw new Error('no way');
      return {};
    },
  };
  const desk = {request: () => ({}), applyLimits: () => undefined};
  return new LimitBroadcaster({
    clock,
    hostDirectory: roster as unknown as HostDirectory,
    client: client as unknown as PeerClient,
    protocol: desk as unknown as SyncProtocol,
  });
}

void test('the readers of all places are told at once, and a reader does not tell itself', async () => {
  createBroadcaster('a2').scheduleBroadcast();
  await clock.advanceSettled(1);
  assert.deepEqual(told, ['a1 0', 'b1 0', 'c1 0']);
  told = [];
  createBroadcaster('a1').scheduleBroadcast();
  await clock.advanceSettled(1);
  assert.deepEqual(told, ['b1 1', 'c1 1']);
});

void test('what is heard within a short time is told together, and none of it is left out', async () => {
  const teller = createBroadcaster('a1');
  for (let i = 0; i < 40; i++) {
    teller.scheduleBroadcast();
    await clock.advanceSettled(10);
  }
  await clock.advanceSettled(1_000);
  assert.deepEqual(told, [
    'b1 0',
    'c1 0',
    'b1 200',
    'c1 200',
    'b1 400',
    'c1 400',
  ]);
});

void test('a reader that is not reached is noted', async () => {
  isReached = false;
  createBroadcaster('a1').scheduleBroadcast();
  await clock.advanceSettled(1);
  assert.deepEqual(failures, ['b1', 'c1']);
});
