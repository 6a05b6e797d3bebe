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
/** Bound within which a configuration must be in force, in ms. */
const BOUND_MS = 2_000;
/** Age of the data above which fallback readers read the store, in ms. */
const STALE_MS = 2_600;
const FALLBACK_MS = 10_000;
const FIRST_START_DELAY_MS = 2_500;
const EMPTY = {records: [], next: 0, isWhole: true};

interface Setup {
  /** Rank of the host as a reader of its place. */
  readonly rank: number;
  readonly waitsForSeeds?: boolean;
}

/** Creates a synchronizer that is not started, to test its decision on who reads the store. */
function createSynchronizer({rank, waitsForSeeds = false}: Setup) {
  const clock = new VirtualClock();
  const freshnessMirror = new TopicMirror(Topic.OPERATOR);
  const hostDirectory = {
    self: HOSTS[rank],
    findReader: () => HOSTS[0],
    listReaderCandidates: () => HOSTS,
  };
  const sink = {write: () => undefined};
  const synchronizer = new PeerSynchronizer({
    clock,
    random: new SeededRandom(1),
    log: new EventLog({clock, host: HOSTS[rank].name, sink}),
    metrics: new GatewayMetrics(),
    hostDirectory: hostDirectory as unknown as HostDirectory,
    client: {} as PeerClient,
    protocol: {} as SyncProtocol,
    configurationBoundMs: BOUND_MS,
    waitsForSeeds,
    freshnessMirror,
    waitUntilReader: () => Promise.resolve(),
    onSync: () => undefined,
  });
  freshnessMirror.load(EMPTY, clock.now());
  /** Advances the clock while the data is proven fresh every half second. */
  const advanceFresh = (ms: number) => {
    for (let left = ms; left > 0; left -= 500) {
      clock.advance(Math.min(left, 500));
      freshnessMirror.confirmFreshness(clock.now());
    }
  };
  return {clock, freshnessMirror, synchronizer, advanceFresh};
}

void test('in normal operation only the first host of a place reads the store', () => {
  for (const {name} of HOSTS) {
    const rank = HOSTS.findIndex(host => host.name === name);
    const {synchronizer, advanceFresh} = createSynchronizer({rank});
    advanceFresh(20_000);
    assert.equal(synchronizer.readsStore, rank === 0, name);
  }
});

void test('at the first start of the fleet a host leaves the store to the seeds, then reads it if it is the first of its place', () => {
  const {clock, freshnessMirror, synchronizer} = createSynchronizer({
    rank: 0,
    waitsForSeeds: true,
  });
  clock.advance(FIRST_START_DELAY_MS - 1);
  freshnessMirror.confirmFreshness(clock.now());
  assert.equal(synchronizer.readsStore, false);
  clock.advance(1);
  assert.equal(synchronizer.readsStore, true);
});

for (const rank of [1, 2, 3, 4])
  void test(`when the data is stale, the host of rank ${rank} ${rank < 3 ? 'reads the store as a fallback for ten seconds' : 'still leaves the store to others'}`, () => {
    const {clock, synchronizer, freshnessMirror, advanceFresh} =
      createSynchronizer({rank});
    clock.advance(STALE_MS);
    assert.equal(synchronizer.readsStore, false, 'not above the limit');
    clock.advance(1);
    assert.equal(synchronizer.readsStore, rank < 3);
    freshnessMirror.confirmFreshness(clock.now());
    assert.equal(
      synchronizer.readsStore,
      rank < 3,
      'keeps reading for a while',
    );
    advanceFresh(FALLBACK_MS - 1);
    assert.equal(synchronizer.readsStore, rank < 3);
    advanceFresh(2);
    assert.equal(synchronizer.readsStore, false);
  });
