import assert from 'node:assert/strict';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {afterEach, beforeEach, test} from 'node:test';
import {Topic} from '../records/topic.js';
import {findPorts} from '../testing/find_ports.js';
import {GatewayFixture} from '../testing/gateway_fixture.js';
import {MemoryRecordStore} from '../testing/memory_record_store.js';
import {ScriptedRunner} from '../testing/scripted_runner.js';

/** How long a host leaves the store to the seeds at the first start, in ms. */
const FIRST_START_DELAY_MS = 2_500;
/** Looks at who reads, of 2.5 s each: several times as long as hosts read in their reader's stead. */
const MAX_LOOKS = 16;

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

/** Whether the first host's copy of the hosts' topic has the entry of a host. */
async function isEntered(name: string): Promise<boolean> {
  const {peerPort, place} = fixture.hosts[0].settings;
  const from = {name: 'test', place, address: '127.0.0.1:1', capacity: 1};
  const digest = {runners: {}, rollouts: {}};
  const params = {from, positions: {}, digest, waitMs: 0};
  const answer = await fetch(`http://127.0.0.1:${peerPort}/`, {
    method: 'POST',
    body: JSON.stringify({jsonrpc: '2.0', id: 1, method: 'sync', params}),
  });
  return (await answer.text()).includes(`"key":"host/${name}"`);
}

void test('a host that the store turns off learns all it needs from a seed, and serves', async () => {
  const away = new MemoryRecordStore();
  away.isDown = true;
  await fixture.startHost({seeds: seeds()}, away);
  await fixture.waitReady(1);
  const answer = await fixture.call({host: 1});
  assert.equal(answer.status, 200);
});

void test('a restart beside hosts that know costs no call to the store', async () => {
  await fixture.startHost({host: 'again', seeds: seeds()});
  await fixture.waitReady(1);
  await fixture.waitFor(() =>
    fixture.events('host_entered').some(({host}) => host === 'again'),
  );
  await fixture.waitFor(() => isEntered('again'));
  const {peerPort} = fixture.hosts[1].settings;
  fixture.hosts[1].gateway.halt();
  const before = {...fixture.store.calls};
  await fixture.startHost({host: 'again', peerPort, seeds: seeds()});
  await fixture.waitReady(2);
  await fixture.waitFor(() => fixture.events('host_entered').length === 3);
  assert.equal(fixture.store.calls.newest, before.newest);
  assert.equal(fixture.store.calls.append, before.append);
});

void test('seeds that do not know either leave the store to be read at once', async () => {
  const store = new MemoryRecordStore();
  const startedAt = performance.now();
  await fixture.startHost({seeds: ['127.0.0.1:1']}, store);
  await fixture.waitFor(() => store.calls.newest > 0);
  assert.ok(performance.now() - startedAt < 1_000);
});

void test('at the first start a host waits for seeds that still read the store', async () => {
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

void test('a host that asks is known before its entry comes by the store', async () => {
  const away = new MemoryRecordStore();
  away.isDown = true;
  await fixture.startHost({host: 'new', seeds: seeds()}, away);
  await fixture.waitFor(() =>
    fixture.events('peer_seen').some(({peer}) => peer === 'new'),
  );
});

void test('a restart beside seeds that say nothing reads the store soon', async () => {
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

void test('a restart beside seeds that know nothing loses no time', async () => {
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

void test('after all hosts were killed the others learn from a seed that reads the store', async () => {
  const slow = new MemoryRecordStore();
  for (const topic of [Topic.OPERATOR, Topic.RUNNERS])
    for (const {key, value} of fixture.store.records(topic))
      slow.put(topic, key, JSON.parse(value!) as object);
  slow.newestMs = 100;
  await fixture.startHost({}, slow);
  const {peerPort} = fixture.hosts[1].settings;
  const own = new MemoryRecordStore();
  await fixture.startHost({seeds: [`127.0.0.1:${peerPort}`]}, own);
  await fixture.waitReady(2);
  assert.equal(own.calls.newest, 0);
});

/** How many of the stores are read while a read that waits for news goes by, and is asked for again. */
async function countRead(
  stores: readonly MemoryRecordStore[],
): Promise<number> {
  const before = stores.map(({calls}) => calls.read);
  await new Promise(resolve => setTimeout(resolve, 2_500));
  return stores.filter(({calls}, i) => calls.read > before[i]).length;
}

void test('at the first start only the seed reads the store, until the others are entered', async () => {
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
  // Then one host of the place reads it; more do after a pause of the machine, see news_loop.test.ts for how long.
  let reading = 0;
  for (let look = 0; look < MAX_LOOKS && reading !== 1; look++)
    reading = await countRead(stores);
  assert.equal(reading, 1);
});
