// Guards against overloading cold runners. After a place had restarted, its runners looked idle to every host:
// they received up to 27 requests in a second where 24.5 are allowed, and four crashed. The test runs three
// hosts that do not know each other's requests.
import assert from 'node:assert/strict';
import {afterEach, beforeEach, test} from 'node:test';
import {Topic} from '../records/topic.js';
import {GatewayFixture} from '../testing/gateway_fixture.js';
import {ScriptedRunner} from '../testing/scripted_runner.js';

const HOSTS = 3;
/** Calls per second that a cold runner can take, and the maximum under the bounds of the fixture's settings. */
const COLD_CALLS_PER_SECOND = 13;
const MAX_CALLS_PER_SECOND = COLD_CALLS_PER_SECOND * 1.5 + 5;
/** Window of a host's share, in ms; how many windows a burst takes depends on the speed of the machine. */
const WINDOW_MS = 1_100;
/** Calls that each host receives at once. */
const CALLS_PER_HOST = 40;
const COLD_MS = 3_000;

let fixture: GatewayFixture;
let cold: ScriptedRunner;
let warm: ScriptedRunner;

beforeEach(async () => {
  fixture = new GatewayFixture();
  cold = new ScriptedRunner({id: 'cold'});
  warm = new ScriptedRunner({id: 'warm'});
  fixture.configure([{}], undefined, {
    coldCallsPerSecond: COLD_CALLS_PER_SECOND,
  });
});

afterEach(async () => {
  await fixture.stop();
  cold.stop();
  warm.stop();
});

async function startHosts(): Promise<void> {
  for (let host = 0; host < HOSTS; host++) await fixture.startHost();
  for (let host = 0; host < HOSTS; host++) await fixture.waitReady(host);
  await fixture.waitFor(
    () => fixture.events('peer_seen').length >= HOSTS * (HOSTS - 1),
  );
}

function publishCold(coldLeftMs: number): void {
  fixture.store.put(Topic.RUNNERS, 'cold', {...cold.entry, coldLeftMs});
}

/** Sends many calls to all hosts at once. @returns the answers, the requests at the cold runner, and the number of windows */
async function sendBurst() {
  const before = cold.received.length;
  const startedAt = performance.now();
  const calls = Array.from({length: CALLS_PER_HOST * HOSTS}, (_, i) =>
    fixture.call({host: i % HOSTS}),
  );
  const answers = await Promise.all(calls);
  const windows = Math.ceil((performance.now() - startedAt) / WINDOW_MS);
  return {answers, windows, arrived: cold.received.length - before};
}

void test('all hosts together send a cold runner only what it can take, and the rest to other runners', async () => {
  await fixture.addRunner(cold);
  await fixture.addRunner(warm);
  await startHosts();
  publishCold(COLD_MS);
  await fixture.waitFor(() => isKnownCold());
  const {answers, arrived, windows} = await sendBurst();
  assert.ok(answers.every(({status}) => status === 200));
  assert.ok(arrived > 0, 'none arrived');
  assert.ok(
    arrived <= COLD_CALLS_PER_SECOND * windows,
    `${arrived} in ${windows} windows`,
  );
});

void test('calls beyond what cold runners can take are refused at once as not run, and served once the runners are warm', async () => {
  await fixture.addRunner(cold);
  await startHosts();
  publishCold(COLD_MS);
  await fixture.waitFor(() => isKnownCold());
  const {answers, arrived, windows} = await sendBurst();
  assert.ok(arrived > 0, 'none arrived');
  assert.ok(
    arrived <= MAX_CALLS_PER_SECOND * windows,
    `${arrived} in ${windows} windows`,
  );
  const refused = answers.filter(({status}) => status === 503);
  assert.equal(refused.length, answers.length - arrived);
  assert.ok(refused.every(({headers}) => headers['retry-after']));
  publishCold(0);
  await fixture.waitFor(async () => {
    const {answers: later} = await sendBurst();
    return later.every(({status}) => status === 200);
  });
});

void test('hosts that do not know how many they are leave cold runners to others', async () => {
  fixture.store.downTopics.add(Topic.HOSTS);
  await fixture.addRunner(cold);
  await fixture.addRunner(warm);
  for (let host = 0; host < HOSTS; host++) await fixture.startHost();
  for (let host = 0; host < HOSTS; host++) await fixture.waitReady(host);
  publishCold(COLD_MS);
  await fixture.waitFor(() => isKnownCold());
  const {answers, arrived, windows} = await sendBurst();
  assert.ok(answers.every(({status}) => status === 200));
  assert.ok(
    arrived <= COLD_CALLS_PER_SECOND * windows,
    `${arrived} in ${windows} windows`,
  );
});

/** Whether the metrics of every host count the runner as cold. */
async function isKnownCold(): Promise<boolean> {
  const metrics = await Promise.all(
    fixture.hosts.map(({gateway}) => gateway.metrics.registry.metrics()),
  );
  return metrics.every(text => /state="cold"} 1/.test(text));
}
