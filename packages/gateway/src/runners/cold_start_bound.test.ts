// A place came back cold: its runners looked idle to every host, and got up to 27 requests in a second where 24.5 are allowed;
// four fell over. Three hosts that know of no request of each other play it here.
import assert from 'node:assert/strict';
import {afterEach, beforeEach, test} from 'node:test';
import {Topic} from '../records/topic.js';
import {GatewayFixture} from '../testing/gateway_fixture.js';
import {ScriptedRunner} from '../testing/scripted_runner.js';

const HOSTS = 3;
/** Calls a second that a cold runner bears, and may get by the bounds of the fixture's settings. */
const BORNE = 13;
const ALLOWED = BORNE * 1.5 + 5;
/** A host sends no more than its share within this time, in ms; a flood lasts as many of them as the machine takes. */
const WINDOW_MS = 1_100;
/** Calls that each host gets at once. */
const CALLS = 40;
const COLD_MS = 3_000;

let fixture: GatewayFixture;
let cold: ScriptedRunner;
let warm: ScriptedRunner;

beforeEach(async () => {
  fixture = new GatewayFixture();
  cold = new ScriptedRunner({id: 'cold'});
  warm = new ScriptedRunner({id: 'warm'});
  fixture.configure([{}], undefined, {coldCallsPerSecond: BORNE});
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

function tellCold(coldLeftMs: number): void {
  fixture.store.put(Topic.RUNNERS, 'cold', {...cold.entry, coldLeftMs});
}

/** All hosts get many calls at once. @returns statuses, how often the cold runner was asked, and in how many windows */
async function flood() {
  const before = cold.received.length;
  const startedAt = performance.now();
  const calls = Array.from({length: CALLS * HOSTS}, (_, i) =>
    fixture.call({host: i % HOSTS}),
  );
  const answers = await Promise.all(calls);
  const windows = Math.ceil((performance.now() - startedAt) / WINDOW_MS);
  return {answers, windows, arrived: cold.received.length - before};
}

void test('a cold runner gets what it bears from all hosts together, others the rest', async () => {
  await fixture.addRunner(cold);
  await fixture.addRunner(warm);
  await startHosts();
  tellCold(COLD_MS);
  await fixture.waitFor(() => isKnownCold());
  const {answers, arrived, windows} = await flood();
  assert.ok(answers.every(({status}) => status === 200));
  assert.ok(arrived > 0, 'none arrived');
  assert.ok(arrived <= BORNE * windows, `${arrived} in ${windows} windows`);
});

void test('what cold runners do not bear is refused at once as not run, and served once they are warm', async () => {
  await fixture.addRunner(cold);
  await startHosts();
  tellCold(COLD_MS);
  await fixture.waitFor(() => isKnownCold());
  const {answers, arrived, windows} = await flood();
  assert.ok(arrived > 0, 'none arrived');
  assert.ok(arrived <= ALLOWED * windows, `${arrived} in ${windows} windows`);
  const refused = answers.filter(({status}) => status === 503);
  assert.equal(refused.length, answers.length - arrived);
  assert.ok(refused.every(({headers}) => headers['retry-after']));
  tellCold(0);
  await fixture.waitFor(async () => {
    const {answers: later} = await flood();
    return later.every(({status}) => status === 200);
  });
});

/** Whether every host counts the runner as cold. */
async function isKnownCold(): Promise<boolean> {
  const states = await Promise.all(
    fixture.hosts.map(({gateway}) => gateway.metrics.registry.metrics()),
  );
  return states.every(text => /state="cold"} 1/.test(text));
}
