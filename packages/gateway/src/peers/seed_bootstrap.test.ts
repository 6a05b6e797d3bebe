import assert from 'node:assert/strict';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {afterEach, beforeEach, test} from 'node:test';
import {Topic} from '../records/topic.js';
import {findPorts} from '../testing/find_ports.js';
import {GatewayFixture} from '../testing/gateway_fixture.js';
import {MemoryRecordStore} from '../testing/memory_record_store.js';
import {ScriptedRunner} from '../testing/scripted_runner.js';

/** How long a host leaves the store to the seeds at the first start of the fleet, in ms. */
const FIRST_START_DELAY_MS = 2_500;
/** Maximum number of observations of who reads, 2.5 s each: several times as long as fallback readers read. */
const MAX_OBSERVATIONS = 16;

let fixture: GatewayFixture;
let runner: ScriptedRunner;

beforeEach(async () => {
  fixture = new GatewayFixture();
  runner = new ScriptedRunner({id: 'one'});
  fixture.configure([{}]);
  await fixture.addRunner(runner);
  await fixture.startHost();
  await fixture.waitReady();
});

afterEach(async () => {
  await fixture.stop();
  runner.stop();
});

function seeds(): string[] {
  const {peerPort} = fixture.hosts[0].settings;
  return ['127.0.0.1:1', `127.0.0.1:${peerPort}`];
}

/** Whether the first host's mirror of the hosts topic has the entry of a host. */
async function isRegistered(name: string): Promise<boolean> {
  const {peerPort, place} = fixture.hosts[0].settings;
  const from = {name: 'test', place, address: '127.0.0.1:1', capacity: 1};
  const digest = {runners: {}, rollouts: {}};
  const params = {from, positions: {}, digest, waitMs: 0};
  const response = await fetch(`http://127.0.0.1:${peerPort}/`, {
    method: 'POST',
    body: JSON.stringify({jsonrpc: '2.0', id: 1, method: 'sync', params}),
  });
  return (await response.text()).includes(`"key":"host/${name}"`);
}

void test('a host that the store rejects loads all its state from a seed, and serves', async () => {
  const unavailable = new MemoryRecordStore();
  unavailable.isDown = true;
  await fixture.startHost({seeds: seeds()}, unavailable);
  await fixture.waitReady(1);
  const response = await fixture.call({host: 1});
  assert.equal(response.status, 200);
});

void test('a restart next to loaded hosts makes no call to the store', async () => {
  await fixture.startHost({host: 'again', seeds: seeds()});
  await fixture.waitReady(1);
  await fixture.waitFor(() =>
    fixture.events('host_entered').some(({host}) => host === 'again'),
  );
  await fixture.waitFor(() => isRegistered('again'));
  const {peerPort, relayPort} = fixture.hosts[1].settings;
  fixture.hosts[1].gateway.stopImmediately();
  const before = {...fixture.store.calls};
  const ports = {peerPort, relayPort};
  await fixture.startHost({host: 'again', ...ports, seeds: seeds()});
  await fixture.waitReady(2);
  await fixture.waitFor(() => fixture.events('host_entered').length === 3);
  assert.equal(fixture.store.calls.newest, before.newest);
  assert.equal(fixture.store.calls.append, before.append);
});

void test('a host whose seeds are unreachable reads the store immediately', async () => {
  const store = new MemoryRecordStore();
  const startedAt = performance.now();
  await fixture.startHost({seeds: ['127.0.0.1:1']}, store);
  await fixture.waitFor(() => store.calls.newest > 0);
  assert.ok(performance.now() - startedAt < 1_000);
});

void test('at the first start of the fleet a host waits for seeds that are still reading the store', async () => {
  const slow = new MemoryRecordStore();
  slow.isDown = true;
  await fixture.startHost({}, slow);
  const {peerPort} = fixture.hosts[1].settings;
  const own = new MemoryRecordStore();
  await fixture.startHost(
    {seeds: [`127.0.0.1:${peerPort}`], isFirstStart: true},
    own,
  );
  await new Promise(resolve => setTimeout(resolve, 800));
  assert.equal(own.calls.newest, 0);
  await fixture.waitFor(() => own.calls.newest > 0);
});

void test('a host that sends a request is known before its entry arrives from the store', async () => {
  const unavailable = new MemoryRecordStore();
  unavailable.isDown = true;
  await fixture.startHost({host: 'new', seeds: seeds()}, unavailable);
  await fixture.waitFor(() =>
    fixture.events('peer_seen').some(({peer}) => peer === 'new'),
  );
});

void test('a restart with seeds that do not respond reads the store soon', async () => {
  const silent = [1, 2, 3].map(() => createServer(() => undefined));
  for (const server of silent)
    await new Promise<void>(done => server.listen(0, '127.0.0.1', done));
  const addresses = silent.map(
    server => `127.0.0.1:${(server.address() as AddressInfo).port}`,
  );
  const store = new MemoryRecordStore();
  const startedAt = performance.now();
  await fixture.startHost({seeds: addresses}, store);
  await fixture.waitFor(() => store.calls.newest > 0);
  const tookMs = performance.now() - startedAt;
  for (const server of silent) {
    server.close();
    server.closeAllConnections();
  }
  assert.ok(tookMs < 400, `${tookMs} ms`);
});

void test('a restart with seeds that have no state is not delayed', async () => {
  const down = new MemoryRecordStore();
  down.isDown = true;
  await fixture.startHost({}, down);
  const {peerPort} = fixture.hosts[1].settings;
  const store = new MemoryRecordStore();
  await fixture.startHost({seeds: [`127.0.0.1:${peerPort}`]}, store);
  const startedAt = performance.now();
  await fixture.waitFor(() => store.calls.newest === 4);
  const tookMs = performance.now() - startedAt;
  assert.ok(tookMs < 120, `${tookMs} ms`);
});

void test('after all hosts were killed, the others load from a seed that reads the store', async () => {
  const slow = new MemoryRecordStore();
  for (const topic of [Topic.OPERATOR, Topic.RUNNERS])
    for (const {key, value} of fixture.store.records(topic))
      slow.put(topic, key, JSON.parse(value!) as object);
  slow.snapshotDelayMs = 100;
  await fixture.startHost({}, slow);
  const {peerPort} = fixture.hosts[1].settings;
  const own = new MemoryRecordStore();
  await fixture.startHost({seeds: [`127.0.0.1:${peerPort}`]}, own);
  await fixture.waitReady(2);
  assert.equal(own.calls.newest, 0);
});

/** Counts the stores that are read within 2.5 s, which is enough for a long poll to end and be repeated. */
async function countReadStores(
  stores: readonly MemoryRecordStore[],
): Promise<number> {
  const before = stores.map(({calls}) => calls.read);
  await new Promise(resolve => setTimeout(resolve, 2_500));
  return stores.filter(({calls}, i) => calls.read > before[i]).length;
}

void test('at the first start of the fleet only the seed reads the store until the other hosts are registered', async () => {
  const [peerPort] = await findPorts(1);
  const first = {isFirstStart: true, seeds: [`127.0.0.1:${peerPort}`]};
  const stores = Array.from({length: 5}, () => fixture.store.share());
  const [seedStore, ...others] = stores;
  await fixture.startHost({...first, place: 'b', peerPort}, seedStore);
  const startedAt: number[] = [];
  for (const store of others) {
    startedAt.push(performance.now());
    await fixture.startHost({...first, place: 'b'}, store);
  }
  await fixture.waitFor(() => seedStore.calls.newest > 0);
  await new Promise(resolve => setTimeout(resolve, FIRST_START_DELAY_MS));
  for (const [i, {firstReadAt = Infinity}] of others.entries())
    assert.ok(firstReadAt - startedAt[i] >= FIRST_START_DELAY_MS);
  // Then one host of the place reads the store. After a pause of the machine, more hosts read it for the fallback
  // period; see peer_synchronizer.test.ts.
  let reading = 0;
  for (let i = 0; i < MAX_OBSERVATIONS && reading !== 1; i++)
    reading = await countReadStores(stores);
  assert.equal(reading, 1);
});
