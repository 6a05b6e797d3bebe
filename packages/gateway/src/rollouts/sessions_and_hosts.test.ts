import assert from 'node:assert/strict';
import {afterEach, beforeEach, test} from 'node:test';
import {CallKind} from '@bayspool/decisions/calls';
import {Topic} from '../records/topic.js';
import {GatewayFixture} from '../testing/gateway_fixture.js';
import {plainHeaderNames as names} from '../testing/plain_header_names.js';
import {ScriptedRunner} from '../testing/scripted_runner.js';

/** Enough sessions for several of them to lie in a share of a few hundredths. */
const SESSIONS = Array.from({length: 200}, (_, i) => `session-${i}`);
/** How long hosts take sessions to go on, in ms; hosts are older than that before they are asked. */
const SESSION_KEPT_MS = 300;
const OLD = 'v1';
const NEW = 'v2';

let fixture: GatewayFixture;
let old: ScriptedRunner;
let fresh: ScriptedRunner;

beforeEach(async () => {
  fixture = new GatewayFixture();
  old = createRunner('old', OLD);
  fresh = createRunner('fresh', NEW);
  fixture.configure([{kind: CallKind.SAFE, attempts: 2}]);
  await fixture.addRunner(old);
});

afterEach(async () => {
  await fixture.stop();
  old.stop();
  fresh.stop();
});

/** A runner that signs its answers with its version. */
function createRunner(id: string, version: string): ScriptedRunner {
  return new ScriptedRunner({
    id,
    version,
    script: (request, response) =>
      response
        .writeHead(200, {
          [names.requestId]: request.id,
          [names.signature]: version,
          'content-length': 0,
        })
        .end(),
  });
}

function order(durationMs: number): void {
  fixture.store.put(Topic.OPERATOR, 'rollout/svc', {
    service: 'svc',
    version: NEW,
    durationMs,
  });
}

async function startHosts(count: number): Promise<void> {
  for (let host = 0; host < count; host++) {
    await fixture.startHost({sessionKeptMs: SESSION_KEPT_MS});
    await fixture.waitReady(host);
  }
  await new Promise(resolve => setTimeout(resolve, 2 * SESSION_KEPT_MS));
}

/** Waits until each host knows the order and the runner of the new version. */
async function waitKnown(hosts: number): Promise<void> {
  const countOf = (event: string, runner?: string) =>
    fixture.events(event).filter(line => line.runner === runner).length;
  await fixture.waitFor(
    () =>
      countOf('rollout_ordered') >= hosts &&
      countOf('runner_seen', 'fresh') >= hosts,
  );
}

/** The version that answers a call of each session at a host. */
async function callSessions(host: number): Promise<Map<string, unknown>> {
  const versions = new Map<string, unknown>();
  for (const session of SESSIONS) {
    const {headers} = await fixture.call({
      host,
      headers: {[names.session]: session},
    });
    versions.set(session, headers[names.signature]);
  }
  return versions;
}

function onNew(versions: ReadonlyMap<string, unknown>): string[] {
  return SESSIONS.filter(session => versions.get(session) === NEW);
}

void test('a session that began before the order keeps the old version at a host that never saw it', async () => {
  await startHosts(2);
  assert.deepEqual(onNew(await callSessions(0)), []);
  order(60_000);
  await fixture.addRunner(fresh);
  await waitKnown(2);
  assert.deepEqual(onNew(await callSessions(1)), []);
});

void test('a session that began before the new runners came keeps the old version at another host', async () => {
  await startHosts(2);
  order(60_000);
  await fixture.waitFor(() => fixture.events('rollout_ordered').length === 2);
  assert.deepEqual(onNew(await callSessions(0)), []);
  await fixture.addRunner(fresh);
  await waitKnown(2);
  assert.deepEqual(onNew(await callSessions(1)), []);
});

void test('whichever host takes its calls, a session moves once, to the new version, in the second half', async () => {
  const durationMs = 8_000;
  await startHosts(2);
  order(durationMs);
  const orderedAt = performance.now();
  await fixture.addRunner(fresh);
  await waitKnown(2);
  const moved = new Set<string>();
  for (let round = 0; moved.size < SESSIONS.length; round++) {
    // A host that has just started knows no session at all.
    if (round % 2 === 0)
      await fixture.startHost({sessionKeptMs: SESSION_KEPT_MS});
    const host = fixture.hosts.length - 1 - (round % 2);
    await fixture.waitReady(host);
    const versions = await callSessions(host);
    const elapsedMs = performance.now() - orderedAt;
    const isFirstHalf = elapsedMs < durationMs / 2;
    const now = onNew(versions);
    if (isFirstHalf) assert.deepEqual(now, [], `after ${elapsedMs} ms`);
    const back = [...moved].filter(session => versions.get(session) !== NEW);
    assert.deepEqual(back, [], `back on the old version at ${elapsedMs} ms`);
    now.forEach(session => moved.add(session));
    assert.ok(elapsedMs < durationMs, 'not all moved in time');
  }
});
