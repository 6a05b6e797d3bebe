import assert from 'node:assert/strict';
import {afterEach, beforeEach, test} from 'node:test';
import {GatewayFixture} from '../testing/gateway_fixture.js';
import {keyedRoute} from '../testing/keyed_route.js';
import {MemoryRecordStore} from '../testing/memory_record_store.js';
import {ScriptedRunner} from '../testing/scripted_runner.js';

/** Hosts of one place: the three that may read the store in doubt, and others. */
const HOSTS = 7;
const MAY_READ = 3;

let fixture: GatewayFixture;
let runner: ScriptedRunner;
let stores: MemoryRecordStore[];

beforeEach(async () => {
  fixture = new GatewayFixture();
  runner = new ScriptedRunner({id: 'one'});
  fixture.configure(keyedRoute.routes, keyedRoute.keys);
  await fixture.addRunner(runner);
  stores = Array.from({length: HOSTS}, () => fixture.store.share());
  for (const store of stores) await fixture.startHost({}, store);
  for (let host = 0; host < HOSTS; host++) await fixture.waitReady(host);
  await fixture.waitFor(
    () => fixture.events('peer_seen').length >= HOSTS * (HOSTS - 1),
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

function reads(): number[] {
  return stores.map(({calls}) => calls.read);
}

/** Hosts that called the store since. */
function countSince(before: readonly number[]): number {
  return reads().filter((count, i) => count > before[i]).length;
}

function isServed(host: number): Promise<boolean> {
  const {headers} = keyedRoute;
  return fixture.call({host, headers}).then(({status}) => status === 200);
}

void test('one host of a place reads the store; while it is away a few ask it, and all serve once it is back', async () => {
  const calm = reads();
  await pause(2_500);
  assert.equal(countSince(calm), 1);
  for (const store of stores) store.isDown = true;
  await pause(1_500);
  const away = reads();
  await pause(5_000);
  assert.ok(countSince(away) <= MAY_READ, `${countSince(away)} hosts asked`);
  for (const store of stores) store.isDown = false;
  await fixture.waitFor(async () => {
    const served = await Promise.all(stores.map((_, i) => isServed(i)));
    return served.every(Boolean);
  });
});

void test('the store turns the reader of a place away: another one reads, and all go on serving', async () => {
  const before = reads();
  await pause(1_500);
  const reader = reads().findIndex((count, i) => count > before[i]);
  stores[reader].isDown = true;
  const until = performance.now() + 8_000;
  while (performance.now() < until) {
    const served = await Promise.all(stores.map((_, i) => isServed(i)));
    assert.deepEqual(served, Array<boolean>(HOSTS).fill(true));
    await pause(200);
  }
});

void test('a new configuration is in force in time at all hosts though their reader is cut off from the store', async () => {
  const before = reads();
  await pause(1_500);
  const reader = reads().findIndex((count, i) => count > before[i]);
  stores[reader].isDown = true;
  for (let round = 0; round < 6; round++) {
    // Changes come at other times of the hosts' rounds.
    await pause(900 + 250 * round);
    fixture.configure(keyedRoute.routes, keyedRoute.keys);
    const changedAt = performance.now();
    const count = fixture.events('configuration_in_force').length;
    await fixture.waitFor(
      () => fixture.events('configuration_in_force').length >= count + HOSTS,
    );
    const tookMs = performance.now() - changedAt;
    assert.ok(tookMs < 2_000, `round ${round}: ${tookMs} ms`);
  }
});
