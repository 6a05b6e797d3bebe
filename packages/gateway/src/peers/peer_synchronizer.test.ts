import assert from 'node:assert/strict';
import {test} from 'node:test';
import {SeededRandom, VirtualClock} from '@bayspool/kernel';
import {EventLog} from '../observability/event_log.js';
import {GatewayMetrics} from '../observability/gateway_metrics.js';
import {TopicMirror} from '../records/topic_mirror.js';
import {Topic} from '../records/topic.js';
import type {HostEntry} from './host_entry.js';
import {PeerSynchronizer} from './peer_synchronizer.js';
import type {PeerClient} from './peer_client.js';
import type {HostDirectory} from './host_directory.js';
import type {SyncProtocol} from './sync_protocol.js';

const HOSTS = [0, 1, 2, 3, 4].map((rank): HostEntry => ({
  name: `host-${rank}`,
  place: 'a',
  address: `127.0.0.1:${rank + 1}`,
  capacity: 1,
}));
/** Bound within which a configuration is to be in force, in ms. */
const BOUND_MS = 2_000;
/** Age of what is known from which further hosts read, in ms. */
const STALE_MS = 2_600;
const FALLBACK_MS = 10_000;
const FIRST_START_DELAY_MS = 2_500;
const EMPTY = {records: [], next: 0, isWhole: true};

interface Setup {
  /** Place in the order in which the hosts of its place read. */
  readonly rank: number;
  readonly waitsForSeeds?: boolean;
}

/** A host's decision on who reads the store; nothing is asked of other hosts. */
function createSynchronizer({rank, waitsForSeeds = false}: Setup) {
  const clock = new VirtualClock();
  const freshness = new TopicMirror(Topic.OPERATOR);
  const roster = {
    self: HOSTS[rank],
    findReader: () => HOSTS[0],
    listReaderCandidates: () => HOSTS,
  };
  const sink = {write: () => undefined};
  const loop = new PeerSynchronizer({
    clock,
    random: new SeededRandom(1),
    log: new EventLog({clock, host: HOSTS[rank].name, sink}),
    metrics: new GatewayMetrics(),
    hostDirectory: roster as unknown as HostDirectory,
    client: {} as PeerClient,
    protocol: {} as SyncProtocol,
    configurationBoundMs: BOUND_MS,
    waitsForSeeds,
    freshnessMirror: freshness,
    waitUntilReader: () => Promise.resolve(),
    onSync: () => undefined,
  });
  freshness.load(EMPTY, clock.now());
  /** Lets time go by while news comes every half second. */
  const advanceFresh = (ms: number) => {
    for (let left = ms; left > 0; left -= 500) {
      clock.advance(Math.min(left, 500));
      freshness.prove(clock.now());
    }
  };
  return {clock, freshness, loop, advanceFresh};
}

void test('in calm times the first host of a place reads the store, and no other', () => {
  for (const {name} of HOSTS) {
    const rank = HOSTS.findIndex(host => host.name === name);
    const {loop, advanceFresh} = createSynchronizer({rank});
    advanceFresh(20_000);
    assert.equal(loop.readsStore, rank === 0, name);
  }
});

void test('at the first start of all a host leaves the store to the seeds, and then reads if it is the first', () => {
  const {clock, freshness, loop} = createSynchronizer({
    rank: 0,
    waitsForSeeds: true,
  });
  clock.advance(FIRST_START_DELAY_MS - 1);
  freshness.prove(clock.now());
  assert.equal(loop.readsStore, false);
  clock.advance(1);
  assert.equal(loop.readsStore, true);
});

for (const rank of [1, 2, 3, 4])
  void test(`when what is known is old, the host of rank ${rank} ${rank < 3 ? 'reads in the stead of the first, for ten seconds' : 'still leaves the store to others'}`, () => {
    const {clock, loop, freshness, advanceFresh} = createSynchronizer({rank});
    clock.advance(STALE_MS);
    assert.equal(loop.readsStore, false, 'not older than the bound');
    clock.advance(1);
    assert.equal(loop.readsStore, rank < 3);
    freshness.prove(clock.now());
    assert.equal(loop.readsStore, rank < 3, 'goes on for a time');
    advanceFresh(FALLBACK_MS - 1);
    assert.equal(loop.readsStore, rank < 3);
    advanceFresh(2);
    assert.equal(loop.readsStore, false);
  });
