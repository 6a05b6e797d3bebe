import assert from 'node:assert/strict';
import {afterEach, beforeEach, test} from 'node:test';
import {GatewayFixture} from '../testing/gateway_fixture.js';
import {keyedRoute} from '../testing/keyed_route.js';
import {MemoryRecordStore} from '../testing/memory_record_store.js';
import {ScriptedRunner} from '../testing/scripted_runner.js';

/** Number of hosts in the place. */
const HOST_COUNT = 7;
/** Number of hosts that may read the store as fallback readers. */
const MAX_FALLBACK_READERS = 3;

let fixture: GatewayFixture;
let runner: ScriptedRunner;
let stores: MemoryRecordStore[];

beforeEach(async () => {
  fixture = new GatewayFixture();
  runner = new ScriptedRunner({id: 'one'});
  fixture.configure(keyedRoute.routes, keyedRoute.keys);
  await fixture.addRunner(runner);
  stores = Array.from({length: HOST_COUNT}, () => fixture.store.share());
  for (const store of stores) await fixture.startHost({}, store);
  for (let host = 0; host < HOST_COUNT; host++) await fixture.waitReady(host);
  await fixture.waitFor(
    () => fixture.events('peer_seen').length >= HOST_COUNT * (HOST_COUNT - 1),
  );
  await pause(2_000);
});

afterEach(async () => {
  await fixture.stop();
  runner.stop();
});

function pause(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}

function readCounts(): number[] {
  return stores.map(({calls}) => calls.read);
}

/** Counts the hosts that have read the store since the given counts were taken. */
function countReadersSince(before: readonly number[]): number {
  return readCounts().filter((count, i) => count > before[i]).length;
}

function canServe(host: number): Promise<boolean> {
  const {headers} = keyedRoute;
  return fixture.call({host, headers}).then(({status}) => status === 200);
}

void test('one host of a place reads the store; a few read it during an outage, and all hosts serve afterwards', async () => {
  const normal = readCounts();
  await pause(2_500);
  assert.equal(countReadersSince(normal), 1);
  for (const store of stores) store.isDown = true;
  await pause(1_500);
  const duringOutage = readCounts();
  await pause(5_000);
  assert.ok(
    countReadersSince(duringOutage) <= MAX_FALLBACK_READERS,
    `${countReadersSince(duringOutage)} hosts read the store`,
  );
  for (const store of stores) store.isDown = false;
  await fixture.waitFor(async () => {
    const served = await Promise.all(stores.map((_, i) => canServe(i)));
    return served.every(Boolean);
  });
});

void test('when the store rejects the reader of a place, another host reads it and all hosts keep serving', async () => {
  const before = readCounts();
  await pause(1_500);
  const reader = readCounts().findIndex((count, i) => count > before[i]);
  stores[reader].isDown = true;
  const until = performance.now() + 8_000;
  while (performance.now() < until) {
    const served = await Promise.all(stores.map((_, i) => canServe(i)));
    assert.deepEqual(served, Array<boolean>(HOST_COUNT).fill(true));
    await pause(200);
  }
});

void test('a new configuration is in force on all hosts in time although their reader is cut off from the store', async () => {
  const before = readCounts();
  await pause(1_500);
  const reader = readCounts().findIndex((count, i) => count > before[i]);
  stores[reader].isDown = true;
  for (let round = 0; round < 6; round++) {
    // Varies when the change arrives relative to the hosts' polls.
    await pause(900 + 250 * round);
    fixture.configure(keyedRoute.routes, keyedRoute.keys);
    const changedAt = performance.now();
    const count = fixture.events('configuration_in_force').length;
    await fixture.waitFor(
      () =>
        fixture.events('configuration_in_force').length >= count + HOST_COUNT,
    );
    const tookMs = performance.now() - changedAt;
    assert.ok(tookMs < 2_000, `round ${round}: ${tookMs} ms`);
  }
});
