/**
 * Guards against a request under which runners end without a word: their open connections fall silent and new ones are
 * refused. Nothing counted against it, so that each repeat ended further runners.
 */
import assert from 'node:assert/strict';
import {afterEach, beforeEach, test} from 'node:test';
import {CallKind, ReleaseReason} from '@bayspool/decisions/calls';
import {Topic} from '../records/topic.js';
import type {CallerResult} from '../testing/caller_result.js';
import {CrashingRunners} from '../testing/crashing_runners.js';
import {GatewayFixture} from '../testing/gateway_fixture.js';
import {LinkFault} from '../testing/link_fault.js';
import {ScriptedRunner} from '../testing/scripted_runner.js';
import {writeStreamHead} from '../testing/write_stream_head.js';

const FATAL = 'the request that ends runners';
const INNOCENT = 'a request at runners that stop for a while';
const SOUND = 'another request';
const HOSTS = 3;
const RUNNERS = 8;
const CRASHES_TO_QUARANTINE = 3;
/** Further runners that the request may reach while the first three ends become known. */
const FURTHER_RUNNERS = 3;
const REPEATS = 16;
const REPEAT_INTERVAL_MS = 300;
const NOTICE_DELAY_MS = 3_600;
const TIME_LIMIT_MS = 4_000;
/** Time within which a call learns that its runner is gone, in ms. */
const KNOWN_WITHIN_MS = 2_000;
const FREEZE_MS = 1_500;
const UNAVAILABLE = 503;
const BAD_GATEWAY = 502;
const QUARANTINED = 'request_quarantined';

let fixture: GatewayFixture;

beforeEach(() => {
  fixture = new GatewayFixture();
});

afterEach(() => fixture.stop());

function sleep(forMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, forMs));
}

function configure(kind: CallKind, attempts = 3): void {
  const targets = [{service: 'llm', weight: 1}];
  fixture.configure([{kind, attempts, targets, timeLimitMs: TIME_LIMIT_MS}]);
}

function isStream(kind: CallKind): boolean {
  return kind === CallKind.STREAM || kind === CallKind.RESUMABLE;
}

async function startCrashing(
  kind: CallKind,
  count = RUNNERS,
): Promise<CrashingRunners> {
  configure(kind);
  const runners = new CrashingRunners({
    fixture,
    count,
    service: 'llm',
    fatalBody: FATAL,
    isStreamed: isStream(kind),
    isSilent: true,
    noticeDelayMs: NOTICE_DELAY_MS,
  });
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

function countQuarantining(): number {
  return new Set(fixture.events(QUARANTINED).map(({host}) => host)).size;
}

for (const kind of Object.values(CallKind))
  void test(`a request under which three runners ended silently is held back by all hosts: ${kind}`, async () => {
    const runners = await startCrashing(kind);
    await startHosts(HOSTS);
    const calls: Array<Promise<unknown>> = [];
    for (let i = 0; i < REPEATS; i++) {
      calls.push(send(FATAL, i % HOSTS), send(SOUND, i % HOSTS));
      await sleep(REPEAT_INTERVAL_MS);
    }
    await Promise.all(calls);
    assert.equal(countQuarantining(), HOSTS);
    for (const host of [0, 1, 2])
      assert.equal((await send(FATAL, host)).status, UNAVAILABLE);
    const most = CRASHES_TO_QUARANTINE + FURTHER_RUNNERS;
    assert.ok(runners.crashCount <= most, `${runners.crashCount} ended`);
    for (const host of [0, 1, 2])
      assert.equal((await send(SOUND, host)).status, 200);
  });

for (const kind of [CallKind.UNSAFE, CallKind.STREAM])
  void test(`a call that may not be repeated does not wait for its time limit at a runner that is gone: ${kind}`, async () => {
    await startCrashing(kind, 2);
    await startHosts(1);
    assert.equal((await send(SOUND)).status, 200);
    const startedAt = performance.now();
    const result = await send(FATAL).catch(() => undefined);
    const tookMs = performance.now() - startedAt;
    assert.ok(tookMs < KNOWN_WITHIN_MS, `${tookMs} ms`);
    if (kind === CallKind.UNSAFE) assert.equal(result?.status, BAD_GATEWAY);
  });

/** Starts runners of which each does something when it gets a certain request, and answers all others. */
async function startRunners(
  onInnocent: (runner: ScriptedRunner) => void,
): Promise<ScriptedRunner[]> {
  const runners: ScriptedRunner[] = [];
  for (let i = 1; i <= CRASHES_TO_QUARANTINE + 1; i++) {
    const runner: ScriptedRunner = new ScriptedRunner({
      id: `runner-${i}`,
      service: 'llm',
      bornAt: Date.now(),
      script: ({id, body}, response) => {
        writeStreamHead(id, response);
        if (body === SOUND) return void response.end('id: 1\ndata: a\n\n');
        response.flushHeaders();
        // The head has to leave first.
        setTimeout(() => onInnocent(runner), 20);
      },
    });
    runners.push(runner);
    await fixture.addRunner(runner);
  }
  return runners;
}

void test('a request at runners that are suspended, with entries that lapse, is not held back', async () => {
  configure(CallKind.STREAM);
  await startRunners(runner => {
    const {entry} = runner;
    runner.freeze();
    setTimeout(() => fixture.store.put(Topic.RUNNERS, entry.id), FREEZE_MS / 3);
    setTimeout(() => {
      runner.thaw();
      fixture.store.put(Topic.RUNNERS, entry.id, entry);
    }, FREEZE_MS);
  });
  await startHosts(2);
  const calls = [];
  for (let i = 0; i < REPEATS; i++) {
    const disconnectAfterMs = 2 * REPEAT_INTERVAL_MS;
    const call = {body: INNOCENT, host: i % 2, disconnectAfterMs};
    calls.push(fixture.call(call).catch(() => undefined));
    calls.push(send(SOUND, i % 2).catch(() => undefined));
    await sleep(REPEAT_INTERVAL_MS);
  }
  await Promise.all(calls);
  assert.ok(fixture.events('run_unsettled').length > 0);
  assert.equal(countQuarantining(), 0);
  assert.deepEqual(fixture.events('runner_end_counted'), []);
});

void test('runners that count as ended and are back under the same start take that back at all hosts', async () => {
  fixture = new GatewayFixture({hasFaultyLinks: true});
  configure(CallKind.STREAM);
  const gone: ScriptedRunner[] = [];
  await startRunners(runner => {
    if (gone.length >= CRASHES_TO_QUARANTINE) return;
    gone.push(runner);
    runner.freeze();
    const addresses = gone.map(({address}) => address);
    for (const {dialer} of fixture.hosts)
      dialer.setFault(LinkFault.REFUSED, addresses);
  });
  await startHosts(2);
  while (gone.length < CRASHES_TO_QUARANTINE) {
    void send(INNOCENT).catch(() => undefined);
    void send(SOUND).catch(() => undefined);
    await sleep(REPEAT_INTERVAL_MS);
  }
  await fixture.waitFor(() => countQuarantining() === 2);
  assert.equal((await send(INNOCENT)).status, UNAVAILABLE);
  for (const {id} of gone.map(({entry}) => entry))
    fixture.store.put(Topic.RUNNERS, id);
  await fixture.waitFor(
    () => fixture.events('runner_gone').length === 2 * CRASHES_TO_QUARANTINE,
  );
  for (const runner of gone) {
    runner.thaw();
    fixture.store.put(Topic.RUNNERS, runner.entry.id, runner.entry);
  }
  await fixture.waitFor(() => {
    const released = fixture.events('request_released');
    return new Set(released.map(({host}) => host)).size === 2;
  });
  const reasons = fixture.events('request_released').map(e => e.reason);
  assert.ok(reasons.includes(ReleaseReason.RETRACTED), reasons.join());
});
