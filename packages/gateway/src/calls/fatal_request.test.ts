/**
 * Guards against a request that crashes every runner it reaches. In one incident nearly all runners
 * of a service crashed within seconds, restarted and crashed again, for a minute; half of all
 * requests failed or were rejected. Each host blamed each crash on the runner, retried the request
 * at the next one, and forgot it when the call ended, while the caller resent it with a new id, to
 * any host. At 11 of 13 crashes the runner had sent response headers for that request and no event;
 * no other request was in that state twice. A request that was only queued at the same runners was
 * affected by five crashes.
 */
import assert from 'node:assert/strict';
import {afterEach, beforeEach, test} from 'node:test';
import {CallKind} from '@bayspool/decisions/calls';
import type {CallerResult} from '../testing/caller_result.js';
import {GatewayFixture} from '../testing/gateway_fixture.js';
import {CrashingRunners} from '../testing/crashing_runners.js';

const FATAL = 'the request that crashes runners';
const BYSTANDER = 'a request that is only queued there';
/** Number of runners that may crash before the request is quarantined. */
const CRASHES_TO_QUARANTINE = 3;
const UNAVAILABLE = 503;
const QUARANTINED = 'request_quarantined';

let fixture: GatewayFixture;

beforeEach(() => {
  fixture = new GatewayFixture();
});

afterEach(() => fixture.stop());

interface Setup {
  readonly kind: CallKind;
  readonly count?: number;
  /** Number of runners to which one call may be sent. */
  readonly attempts?: number;
}

async function startRunners({
  kind,
  count = 5,
  attempts = 3,
}: Setup): Promise<CrashingRunners> {
  const targets = [{service: 'llm', weight: 1}];
  fixture.configure([{kind, attempts, targets, timeLimitMs: 4_000}]);
  const isStreamed = kind !== CallKind.SAFE;
  const options = {fixture, count, service: 'llm', fatalBody: FATAL};
  const runners = new CrashingRunners({...options, isStreamed});
  await runners.start();
  return runners;
}

async function startHosts(count: number): Promise<void> {
  for (let host = 0; host < count; host++) {
    await fixture.startHost({host: `host-${host + 1}`});
    await fixture.waitReady(host);
  }
}

function send(body: string, host = 0): Promise<CallerResult> {
  return fixture.call({body, host});
}

/** Waits until this many hosts have quarantined the request. */
function waitQuarantined(hosts: number): Promise<void> {
  return fixture.waitFor(
    () =>
      new Set(fixture.events(QUARANTINED).map(({host}) => host)).size >= hosts,
  );
}

void test('a stream that crashed three runners is sent to no further runner by any host', async () => {
  const runners = await startRunners({kind: CallKind.RESUMABLE});
  await startHosts(3);
  await send(FATAL);
  await waitQuarantined(3);
  assert.equal(runners.crashCount, CRASHES_TO_QUARANTINE);
  for (const host of [0, 1, 2, 0]) {
    const {status, headers} = await send(FATAL, host);
    assert.equal(status, UNAVAILABLE, 'it has not run');
    assert.ok(Number(headers['retry-after']) > 60, 'nor will it run soon');
  }
  assert.equal(runners.crashCount, CRASHES_TO_QUARANTINE);
  for (const host of [0, 1, 2])
    assert.equal((await send('another request', host)).status, 200);
});

void test('crashes seen by different hosts are added up', async () => {
  const runners = await startRunners({kind: CallKind.STREAM});
  await startHosts(3);
  // A stream that may run only once is sent to one runner per call.
  for (const host of [0, 1, 2]) await send(FATAL, host);
  await waitQuarantined(3);
  assert.equal(runners.crashCount, CRASHES_TO_QUARANTINE);
  for (const host of [0, 1, 2])
    assert.equal((await send(FATAL, host)).status, UNAVAILABLE);
  assert.equal(runners.crashCount, CRASHES_TO_QUARANTINE);
});

void test('a host that starts later knows the quarantine, even after all other hosts have stopped', async () => {
  const runners = await startRunners({kind: CallKind.RESUMABLE});
  await startHosts(2);
  await send(FATAL);
  await waitQuarantined(2);
  await fixture.waitFor(() => fixture.events('quarantine_written').length > 0);
  for (const {gateway} of fixture.hosts) gateway.stopImmediately();
  await fixture.startHost({host: 'host-3'});
  await fixture.waitReady(2);
  assert.equal((await send(FATAL, 2)).status, UNAVAILABLE);
  assert.equal(runners.crashCount, CRASHES_TO_QUARANTINE);
});

void test('hosts exchange the quarantine while the store is down', async () => {
  const runners = await startRunners({kind: CallKind.RESUMABLE});
  await startHosts(2);
  await fixture.waitFor(() => fixture.events('peer_seen').length >= 2);
  fixture.store.isDown = true;
  // Restarted runners can't be discovered while the store is down; five are enough.
  await send(FATAL);
  await waitQuarantined(2);
  assert.equal((await send(FATAL, 1)).status, UNAVAILABLE);
  assert.equal(runners.crashCount, CRASHES_TO_QUARANTINE);
});

void test('a request with a buffered response is quarantined after crashing three runners that ran nothing else', async () => {
  const runners = await startRunners({kind: CallKind.SAFE});
  await startHosts(2);
  await send(FATAL);
  await waitQuarantined(2);
  assert.equal(runners.crashCount, CRASHES_TO_QUARANTINE);
  for (const host of [0, 1])
    assert.equal((await send(FATAL, host)).status, UNAVAILABLE);
  assert.equal(runners.crashCount, CRASHES_TO_QUARANTINE);
});

void test('after one crash a request is sent to idle runners', async () => {
  const runners = await startRunners({kind: CallKind.SAFE});
  await startHosts(1);
  const others = ['a', 'b', 'c', 'd'].map(name => `long ${name}`);
  for (const body of others) runners.unansweredBodies.add(body);
  const waiting = others.slice(0, 3).map(body => send(body));
  await fixture.waitFor(() => runners.receivedBodies.length === 3);
  await send(FATAL);
  const counted = fixture.events('runner_end_counted');
  const fatal = counted.filter(({isAlone}) => isAlone);
  assert.ok(fatal.length >= 2, JSON.stringify(counted));
  await Promise.all(waiting);
});

/** Queues a bystander at the only runner, which a fatal request then crashes. */
async function queueDuringCrash(
  runners: CrashingRunners,
  fatal: string,
  host: number,
): Promise<void> {
  const {crashCount} = runners;
  const before = runners.arrivals.length;
  const waiting = send(BYSTANDER, host);
  await fixture.waitFor(() => runners.arrivals.length > before);
  await send(fatal, host);
  await waiting;
  assert.equal(runners.crashCount, crashCount + 1);
  await fixture.waitFor(() => {
    const id = `runner-${runners.crashCount + 1}`;
    const seen = fixture.events('runner_seen').filter(e => e.runner === id);
    return seen.length === fixture.hosts.length;
  });
}

for (const kind of [CallKind.RESUMABLE, CallKind.SAFE])
  void test(`a request that is only queued at crashing runners is never quarantined: ${kind}`, async () => {
    const runners = await startRunners({kind, count: 1, attempts: 1});
    await startHosts(2);
    runners.unansweredBodies.add(BYSTANDER);
    for (const fatal of ['one', 'two', 'three', 'one', 'two', 'three'])
      await queueDuringCrash(
        runners,
        `${FATAL} ${fatal}`,
        runners.crashCount % 2,
      );
    // Wait until ambiguous crashes have been evaluated.
    await new Promise(resolve => setTimeout(resolve, 2_500));
    runners.unansweredBodies.clear();
    for (const host of [0, 1])
      assert.equal((await send(BYSTANDER, host)).status, 200);
  });
