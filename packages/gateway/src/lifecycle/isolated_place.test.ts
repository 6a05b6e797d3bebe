import assert from 'node:assert/strict';
import {afterEach, beforeEach, test} from 'node:test';
import {GatewayFixture} from '../testing/gateway_fixture.js';
import {keyedRoute} from '../testing/keyed_route.js';
import {MemoryRecordStore} from '../testing/memory_record_store.js';
import {ScriptedRunner} from '../testing/scripted_runner.js';

const PLACES = ['a', 'b', 'c'];
const {headers} = keyedRoute;

let fixture: GatewayFixture;
let runner: ScriptedRunner;
let separateStore: MemoryRecordStore;

beforeEach(async () => {
  fixture = new GatewayFixture();
  runner = new ScriptedRunner({id: 'one'});
  fixture.configure(keyedRoute.routes, keyedRoute.keys);
  await fixture.addRunner(runner);
  separateStore = fixture.store.share();
});

afterEach(async () => {
  await fixture.stop();
  runner.stop();
});

/** Starts a host in each place; the first one has its own connection to the store, which can be cut. */
async function startHostPerPlace(extra: {honoursStaleKeys?: boolean} = {}) {
  for (const [index, place] of PLACES.entries())
    await fixture.startHost(
      {place, ...extra},
      index === 0 ? separateStore : fixture.store,
    );
  for (const index of PLACES.keys()) await fixture.waitReady(index);
  await fixture.waitFor(() => fixture.events('peer_seen').length >= 6);
  await new Promise(resolve => setTimeout(resolve, 1_500));
}

/** Isolates the first host: it reaches neither the store nor the other places. Returns the time. */
function isolateFirstHost(): number {
  separateStore.isDown = true;
  for (const {gateway} of fixture.hosts.slice(1)) gateway.stopImmediately();
  return performance.now();
}

void test('an isolated place becomes not ready two seconds before it refuses calls', async () => {
  await startHostPerPlace();
  const isolatedAt = isolateFirstHost();
  await fixture.waitFor(async () => (await fixture.fetchReadiness()) === 503);
  const notReadyAt = performance.now();
  assert.equal((await fixture.call({headers})).status, 200);
  await fixture.waitFor(
    async () => (await fixture.call({headers})).status === 503,
  );
  const refusedAt = performance.now();
  assert.ok(
    notReadyAt - isolatedAt < 2_000,
    `not ready after ${notReadyAt - isolatedAt} ms`,
  );
  assert.ok(
    refusedAt - notReadyAt > 1_800,
    `${refusedAt - notReadyAt} ms before`,
  );
});

void test('an isolated place stays ready if stale keys are honoured', async () => {
  await startHostPerPlace({honoursStaleKeys: true});
  isolateFirstHost();
  await new Promise(resolve => setTimeout(resolve, 4_000));
  assert.equal(await fixture.fetchReadiness(), 200);
});

void test('hosts stay ready during an outage of the store while other places respond', async () => {
  await startHostPerPlace();
  separateStore.isDown = true;
  fixture.store.isDown = true;
  await new Promise(resolve => setTimeout(resolve, 2_000));
  assert.equal(await fixture.fetchReadiness(), 200);
});
