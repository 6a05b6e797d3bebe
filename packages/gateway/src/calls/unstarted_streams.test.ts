/**
 * Guards against a request under which runners end before they have sent the head of its stream, and against holding
 * back a stream that only was there: one that waited, or whose links were lost.
 */
import assert from 'node:assert/strict';
import {afterEach, beforeEach, test} from 'node:test';
import {CallKind} from '@bayspool/decisions/calls';
import {Topic} from '../records/topic.js';
import type {CallerResult} from '../testing/caller_result.js';
import {CrashingRunners} from '../testing/crashing_runners.js';
import {GatewayFixture} from '../testing/gateway_fixture.js';
import {LinkFault} from '../testing/link_fault.js';
import {ScriptedRunner} from '../testing/scripted_runner.js';
import {writeStreamHead} from '../testing/write_stream_head.js';

const FATAL = 'the request that ends runners';
const INNOCENT = 'a request at runners that end';
const POPULAR = 'a popular request';
const HOSTS = 3;
const RUNNERS = 8;
const TIME_LIMIT_MS = 4_000;
/** Arrivals at runners that are allowed once hosts had time to learn of three ends. */
const MAX_LATE = 3;
const LATE_AFTER_MS = 3_000;
const REPEATS = 36;
const REPEAT_INTERVAL_MS = 250;
const RESTART_MS = 500;
const NOTICE_DELAY_MS = 3_600;
const OK = 200;
const UNAVAILABLE = 503;
const QUARANTINED = 'request_quarantined';
const EVENT = 'id: 1\ndata: a\n\n';

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

interface Setup {
  readonly count?: number;
  readonly isSilent?: boolean;
  readonly restartDelayMs?: number;
}

async function startCrashing(setup: Setup): Promise<CrashingRunners> {
  const runners = new CrashingRunners({
    fixture,
    count: RUNNERS,
    service: 'llm',
    fatalBody: FATAL,
    isStreamed: true,
    crashesBeforeHead: true,
    ...setup,
  });
  await runners.start();
  return runners;
}

async function startHosts(count = HOSTS): Promise<void> {
  for (let host = 0; host < count; host++) {
    await fixture.startHost({host: `host-${host + 1}`});
    await fixture.waitReady(host);
  }
}

/** Sends a request; a connection that breaks gives none. */
function send(body: string, host = 0): Promise<CallerResult | undefined> {
  return fixture.call({body, host}).catch(() => undefined);
}

/** Fingerprints of the requests that any host held back for long. */
function listQuarantined(): string[] {
  return fixture.events(QUARANTINED).map(e => String(e.fingerprint));
}

for (const kind of [CallKind.RESUMABLE, CallKind.STREAM])
  for (const isSilent of [false, true]) {
    const form = isSilent ? 'fall silent' : 'are reset';
    void test(`a stream whose runners end before its head is held back by all hosts, and a popular one is served: ${kind}, connections ${form}`, async t => {
      configure(kind);
      const runners = await startCrashing({
        isSilent,
        restartDelayMs: RESTART_MS,
      });
      await startHosts();
      const fatal: Array<Promise<unknown>> = [];
      const popular: Array<Promise<CallerResult | undefined>> = [];
      for (let i = 0; i < REPEATS; i++) {
        fatal.push(send(FATAL, i % HOSTS));
        popular.push(send(POPULAR, (i + 1) % HOSTS));
        await sleep(REPEAT_INTERVAL_MS);
      }
      await Promise.all([...fatal, ...popular]);
      const late = runners.countLate(FATAL, LATE_AFTER_MS);
      t.diagnostic(`${late} late, ${runners.crashCount} runners ended`);
      assert.ok(late <= MAX_LATE, `${late} late`);
      assert.equal(new Set(listQuarantined()).size, 1);
      for (let host = 0; host < HOSTS; host++) {
        assert.equal((await send(FATAL, host))?.status, UNAVAILABLE);
        assert.equal((await send(POPULAR, host))?.status, OK);
      }
    });
  }

void test('four streams at once whose runners end before their heads, in bursts, are each held back in the end, and only they are', async t => {
  configure(CallKind.RESUMABLE);
  const runners = await startCrashing({restartDelayMs: RESTART_MS});
  await startHosts();
  const fatals = ['one', 'two', 'three', 'four'].map(n => `${FATAL} ${n}`);
  const all: Array<Promise<unknown>> = [];
  const served = new Set<string>();
  /** Repeats a request, as its caller does, until it is answered. */
  const sendUntilServed = async (body: string, host: number) => {
    for (let i = 0; i < 20 && !served.has(body); i++) {
      const result = await send(body, (host + i) % HOSTS);
      if (result?.status === OK) served.add(body);
      else await sleep(200);
    }
  };
  for (let i = 0; i < REPEATS; i++) {
    for (const [j, fatal] of fatals.entries())
      for (let copy = 0; copy < (i % 4 === j ? 3 : 1); copy++)
        all.push(send(fatal, (i + j + copy) % HOSTS));
    all.push(sendUntilServed(`sound ${i}`, i % HOSTS));
    await sleep(REPEAT_INTERVAL_MS);
  }
  await Promise.all(all);
  const late = fatals.map(body => runners.countLate(body, LATE_AFTER_MS));
  t.diagnostic(`${late.join()} late, ${runners.crashCount} runners ended`);
  assert.equal(served.size, REPEATS);
  for (const fatal of fatals) {
    const result = await send(fatal);
    assert.match(result?.body ?? '', /held back/, fatal);
  }
  assert.equal(new Set(listQuarantined()).size, fatals.length);
});

for (const kind of [CallKind.RESUMABLE, CallKind.STREAM])
  for (const names of [
    ['one', 'two', 'three'],
    ['one', 'two', 'three', 'four', 'five', 'six'],
  ])
    void test(`a stream that only waits at runners which other hosts' requests end is served: ${kind}, ${names.length} requests`, async () => {
      const asideRoute = {name: 'aside', pathPrefix: '/y/'};
      const targets = [{service: 'llm', weight: 1}];
      const route = {kind, attempts: 1, timeLimitMs: TIME_LIMIT_MS, targets};
      fixture.configure([route, asideRoute]);
      await fixture.addRunner(new ScriptedRunner({id: 'aside'}));
      const runners = await startCrashing({count: 1});
      await startHosts(2);
      // A host that hears of no runner at all can't tell that one has ended.
      const others = setInterval(() => {
        for (const host of [0, 1])
          void fixture.call({path: '/y/1', host}).catch(() => undefined);
      }, 100);
      runners.unansweredBodies.add(INNOCENT);
      const fatals = Array.from({length: 6}, (_, i) => names[i % names.length]);
      for (const name of fatals) {
        const {receivedBodies, crashCount} = runners;
        const before = receivedBodies.length;
        const waiting = send(INNOCENT, 0);
        await fixture.waitFor(() => receivedBodies.length > before);
        await send(`${FATAL} ${name}`, 1);
        await waiting;
        assert.equal(runners.crashCount, crashCount + 1);
        await fixture.waitFor(() => {
          const id = `runner-${runners.crashCount + 1}`;
          const seen = fixture.events('runner_seen');
          return seen.filter(e => e.runner === id).length === 2;
        });
        await sleep(REPEAT_INTERVAL_MS);
      }
      // Until what hosts tell each other of the ends has been evaluated.
      await sleep(2_500);
      clearInterval(others);
      const noted = fixture.events('unstarted_end_noted');
      assert.equal(noted.length, 2 * fatals.length, 'of both hosts');
      runners.unansweredBodies.clear();
      for (const host of [0, 1])
        assert.equal((await send(INNOCENT, host))?.status, OK);
    });

/** Starts runners that answer all requests but those for which they do something else. */
async function startRunners(
  count: number,
  onInnocent: (runner: ScriptedRunner) => void,
): Promise<ScriptedRunner[]> {
  const runners: ScriptedRunner[] = [];
  for (let i = 1; i <= count; i++) {
    const runner: ScriptedRunner = new ScriptedRunner({
      id: `runner-${i}`,
      service: 'llm',
      bornAt: Date.now(),
      script: ({id, body}, response) => {
        if (body === INNOCENT) return onInnocent(runner);
        writeStreamHead(id, response);
        response.end(EVENT);
      },
    });
    runners.push(runner);
    await fixture.addRunner(runner);
  }
  return runners;
}

void test('a stream whose connections are reset by runners that live on is not held back', async () => {
  configure(CallKind.RESUMABLE);
  const runners = await startRunners(RUNNERS, runner => {
    for (const {socket, body} of runner.received)
      if (body === INNOCENT) socket.resetAndDestroy();
  });
  await startHosts();
  for (let i = 0; i < 12; i++) {
    await send(INNOCENT, i % HOSTS);
    await sleep(REPEAT_INTERVAL_MS);
  }
  await sleep(1_500);
  assert.deepEqual(listQuarantined(), []);
  for (const runner of runners)
    runner.script = ({id}, response) => {
      writeStreamHead(id, response);
      response.end(EVENT);
    };
  for (let host = 0; host < HOSTS; host++)
    assert.equal((await send(INNOCENT, host))?.status, OK);
});

void test('a stream at runners that all end at once, and are retried there, is not held back', async () => {
  configure(CallKind.RESUMABLE);
  let isEnding = true;
  const all = await startRunners(4, runner => {
    if (!isEnding) return;
    setTimeout(() => runner.stop(), 40);
  });
  await startHosts();
  await send(INNOCENT);
  isEnding = false;
  for (let i = 1; i <= all.length; i++)
    fixture.store.put(Topic.RUNNERS, `runner-${i}`);
  const later: ScriptedRunner[] = [];
  for (let i = 1; i <= 4; i++) {
    const runner = new ScriptedRunner({
      id: `later-${i}`,
      service: 'llm',
      bornAt: Date.now(),
      script: ({id}, response) => {
        writeStreamHead(id, response);
        response.end(EVENT);
      },
    });
    later.push(runner);
    await fixture.addRunner(runner);
  }
  await fixture.waitFor(
    () => fixture.events('runner_seen').length >= 8 * HOSTS,
  );
  await sleep(2_500);
  assert.deepEqual(listQuarantined(), []);
  for (let host = 0; host < HOSTS; host++)
    assert.equal((await send(INNOCENT, host))?.status, OK);
});

for (const isSilent of [true, false])
  void test(`streams that reach runners which ended together before, and come again, are not held back: connections ${isSilent ? 'fall silent' : 'are reset'}`, async t => {
    configure(CallKind.RESUMABLE);
    const runners = await startRunners(12, () => undefined);
    await startHosts();
    // Each host has connections to most runners.
    for (let round = 0; round < 3; round++)
      await Promise.all(
        Array.from({length: 120}, (_, i) => send(POPULAR, i % HOSTS)),
      );
    const connected = runners.slice(0, 10).map(({connections}) => connections);
    for (const runner of runners.slice(0, 10))
      if (isSilent) runner.endSilently();
      else runner.stop();
    for (let i = 1; i <= 10; i++)
      setTimeout(
        () => fixture.store.put(Topic.RUNNERS, `runner-${i}`),
        NOTICE_DELAY_MS,
      );
    const all: Array<Promise<number>> = [];
    const sendUntilServed = async (body: string, first: number) => {
      for (let i = 0; i < 30; i++) {
        const result = await send(body, (first + i) % HOSTS);
        if (result?.status === OK) return i;
        await sleep(200);
      }
      return Infinity;
    };
    for (let i = 0; i < 30; i++) {
      all.push(sendUntilServed(`request ${i}`, i));
      await sleep(30);
    }
    const repeats = await Promise.all(all);
    await sleep(2_500);
    const ends = fixture.events('unstarted_end_noted').length;
    t.diagnostic(
      `repeats ${repeats.join()}, ${ends} ends noted, ${connected.join()} connections`,
    );
    assert.deepEqual(listQuarantined(), []);
    assert.ok(Math.max(...repeats) < Infinity);
  });

for (const fault of [LinkFault.RESET, LinkFault.SILENT])
  void test(`a popular stream is held back by no host because one host loses its links to all runners: ${fault}`, async () => {
    fixture = new GatewayFixture({hasFaultyLinks: true});
    configure(CallKind.RESUMABLE);
    for (let i = 1; i <= 4; i++)
      await fixture.addRunner(
        new ScriptedRunner({
          id: `runner-${i}`,
          service: 'llm',
          bornAt: Date.now(),
          script: ({id}, response) =>
            void setTimeout(() => {
              writeStreamHead(id, response);
              response.end(EVENT);
            }, 100),
        }),
      );
    await startHosts();
    const calls: Array<Promise<{host: number; status?: number}>> = [];
    for (let i = 0; i < 120; i++) {
      if (i === 20 || i === 60) fixture.hosts[0].dialer.setFault(fault);
      if (i === 40 || i === 80)
        fixture.hosts[0].dialer.setFault(LinkFault.NONE);
      const host = i % HOSTS;
      calls.push(
        send(POPULAR, host).then(result => ({host, status: result?.status})),
      );
      await sleep(60);
    }
    const results = await Promise.all(calls);
    const others = results.filter(({host}) => host > 0);
    const failed = others.filter(({status}) => status !== OK);
    assert.deepEqual(failed, []);
    assert.deepEqual(listQuarantined(), []);
  });

void test('a stream is not held back because the only host that has it loses its links again and again', async () => {
  fixture = new GatewayFixture({hasFaultyLinks: true});
  configure(CallKind.STREAM);
  let isAnswered = false;
  for (let i = 1; i <= 4; i++)
    await fixture.addRunner(
      new ScriptedRunner({
        id: `runner-${i}`,
        service: 'llm',
        bornAt: Date.now(),
        script: ({id, body}, response) => {
          if (body === INNOCENT && !isAnswered) return;
          writeStreamHead(id, response);
          response.end(EVENT);
        },
      }),
    );
  await startHosts();
  const [{dialer}] = fixture.hosts;
  for (let i = 0; i < 8; i++) {
    const waiting = send(INNOCENT);
    await sleep(100);
    dialer.setFault(LinkFault.RESET);
    await waiting;
    await sleep(800);
    dialer.setFault(LinkFault.NONE);
    // A call that another host serves meanwhile would drop the evidence as well.
    await fixture.waitFor(() => {
      const lost = fixture.events('runners_unreachable').length;
      return fixture.events('runners_reachable').length === lost;
    });
    assert.equal((await send(POPULAR))?.status, OK);
    await sleep(REPEAT_INTERVAL_MS);
  }
  await sleep(1_500);
  assert.ok(fixture.events('runners_unreachable').length >= 3);
  assert.deepEqual(listQuarantined(), []);
  isAnswered = true;
  for (let host = 0; host < HOSTS; host++)
    assert.equal((await send(INNOCENT, host))?.status, OK);
});
