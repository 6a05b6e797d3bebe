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
let ownStore: MemoryRecordStore;

beforeEach(async () => {
  fixture = new GatewayFixture();
  runner = new ScriptedRunner({id: 'one'});
  fixture.configure(keyedRoute.routes, keyedRoute.keys);
  await fixture.addRunner(runner);
  ownStore = fixture.store.share();
});

afterEach(async () => {
  await fixture.stop();
  runner.stop();
});

/** A host in each place; the first one has a store of its own, with which it can be cut off. */
async function startHostPerPlace(extra: {honoursStaleKeys?: boolean} = {}) {
  for (const [index, place] of PLACES.entries())
    await fixture.startHost(
      {place, ...extra},
      index === 0 ? ownStore : fixture.store,
    );
  for (const index of PLACES.keys()) await fixture.waitReady(index);
  await fixture.waitFor(() => fixture.events('peer_seen').length >= 6);
  await new Promise(resolve => setTimeout(resolve, 1_500));
}

/** Lets the first host reach nothing outside of its place. */
function isolateFirstHost(): number {
  ownStore.isDown = true;
  for (const {gateway} of fixture.hosts.slice(1)) gateway.stopImmediately();
  return performance.now();
}

void test('a place that is cut off sends callers elsewhere two seconds before it refuses them', async () => {
  await startHostPerPlace();
  const cutAt = isolateFirstHost();
  await fixture.waitFor(async () => (await fixture.readiness()) === 503);
  const leftAt = performance.now();
  assert.equal((await fixture.call({headers})).status, 200);
  await fixture.waitFor(
    async () => (await fixture.call({headers})).status === 503,
  );
  const refusedAt = performance.now();
  assert.ok(leftAt - cutAt < 2_000, `not ready after ${leftAt - cutAt} ms`);
  assert.ok(refusedAt - leftAt > 1_800, `${refusedAt - leftAt} ms before`);
});

void test('a place that is cut off stays ready where keys are honoured', async () => {
  await startHostPerPlace({honoursStaleKeys: true});
  isolateFirstHost();
  await new Promise(resolve => setTimeout(resolve, 4_000));
  assert.equal(await fixture.readiness(), 200);
});

void test('hosts stay ready while the store is away and other places answer', async () => {
  await startHostPerPlace();
  ownStore.isDown = true;
  fixture.store.isDown = true;
  await new Promise(resolve => setTimeout(resolve, 2_000));
  assert.equal(await fixture.readiness(), 200);
});
