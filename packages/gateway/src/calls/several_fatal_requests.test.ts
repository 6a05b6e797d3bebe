/** Guards against several requests that crash runners at the same time, each of which hides behind the others. */
import assert from 'node:assert/strict';
import {describe, test} from 'node:test';
import type {TestContext} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {CallKind} from '@bayspool/decisions/calls';
import {SeededRandom} from '@bayspool/kernel';
import {CrashingRunners} from '../testing/crashing_runners.js';
import {GatewayFixture} from '../testing/gateway_fixture.js';

const FATAL = 'fatal';
const HOSTS = 7;
const RUNNERS = 8;
/** Crashes under a request after which hosts have to know it, the time in which they may learn of them, in ms, and arrivals after that. */
const CRASHES_TO_KNOW = 3;
const LEARN_MS = 3_000;
const MAX_LATE = 3;
/** Pauses between two copies of a fatal request, in ms. */
const PAUSE_MS = [30, 90] as const;
const FOR_MS = 14_000;
/** Times of a runner's crash until its entry goes and until another one comes, in ms. */
const NOTICE_DELAY_MS = 1_200;
const RESTART_DELAY_MS = 3_000;
const SOUND_PAUSE_MS = 20;
/** Time that a sound response takes, in ms. */
const RESPONSE_MS = 80;
/** Time after the last fatal request within which a popular sound one is served at each host, in ms. */
const SERVED_WITHIN_MS = 10_000;
const OK = 200;

interface Variant {
  readonly kind: CallKind;
  /** Number of requests that crash runners. */
  readonly fatals: number;
  readonly sendsNoHead?: boolean;
}

const variants: Readonly<Record<string, Variant>> = {
  'whole responses': {kind: CallKind.SAFE, fatals: 4},
  streams: {kind: CallKind.RESUMABLE, fatals: 4},
  'a stream without a head': {
    kind: CallKind.RESUMABLE,
    fatals: 1,
    sendsNoHead: true,
  },
  'streams without a head': {
    kind: CallKind.RESUMABLE,
    fatals: 4,
    sendsNoHead: true,
  },
};

async function start(context: TestContext, {kind, sendsNoHead}: Variant) {
  const fixture = new GatewayFixture();
  context.after(() => fixture.stop());
  const targets = [{service: 'llm', weight: 1}];
  fixture.configure([{kind, attempts: 3, targets, timeLimitMs: 4_000}]);
  const runners = new CrashingRunners({
    fixture,
    count: RUNNERS,
    service: 'llm',
    fatalBody: FATAL,
    isStreamed: kind !== CallKind.SAFE,
    responseDelayMs: RESPONSE_MS,
    sendsNoHead,
    restartDelayMs: RESTART_DELAY_MS,
    noticeDelayMs: NOTICE_DELAY_MS,
  });
  await runners.start();
  for (let host = 0; host < HOSTS; host++) {
    await fixture.startHost({place: host % 2 === 0 ? 'a' : 'b'});
    await fixture.waitReady(host);
  }
  return {fixture, runners};
}

/** Sends copies of a request to any host for some time, without waiting for their responses. */
async function sendCopies(
  fixture: GatewayFixture,
  body: string,
  random: SeededRandom,
): Promise<void> {
  const until = performance.now() + FOR_MS;
  const [least, most] = PAUSE_MS;
  while (performance.now() < until) {
    const host = random.below(HOSTS);
    fixture.call({body, host}).catch(() => undefined);
    await sleep(least + random.next() * (most - least));
  }
}

async function sendSound(
  fixture: GatewayFixture,
  random: SeededRandom,
): Promise<void> {
  const until = performance.now() + FOR_MS;
  for (let i = 0; performance.now() < until; i++) {
    const body = i % 3 === 0 ? 'popular' : `sound ${i}`;
    fixture.call({body, host: random.below(HOSTS)}).catch(() => undefined);
    await sleep(SOUND_PAUSE_MS);
  }
}

/** Returns how often a request reached a runner after hosts had to know it. */
function countLate(runners: CrashingRunners, body: string): number {
  const crashes = runners.crashes.filter(crash => crash.body === body);
  const known = crashes.at(CRASHES_TO_KNOW - 1);
  if (!known) return 0;
  return runners.arrivals.filter(
    arrival => arrival.body === body && arrival.at > known.at + LEARN_MS,
  ).length;
}

async function isServed(
  fixture: GatewayFixture,
  host: number,
): Promise<boolean> {
  const until = performance.now() + SERVED_WITHIN_MS;
  while (performance.now() < until) {
    const result = await fixture.call({body: 'popular', host});
    if (result.status === OK) return true;
    await sleep(SOUND_PAUSE_MS);
  }
  return false;
}

void describe('requests that crash runners', {concurrency: 2}, () => {
  for (const [name, variant] of Object.entries(variants))
    for (const seed of [1, 2])
      void test(`each reach few of them, and a popular sound one is served: ${name}, seed ${seed}`, async context => {
        const {fixture, runners} = await start(context, variant);
        const random = new SeededRandom(seed);
        const bodies = Array.from(
          {length: variant.fatals},
          (_, i) => `${FATAL} ${i}`,
        );
        await Promise.all([
          ...bodies.map(body => sendCopies(fixture, body, random)),
          sendSound(fixture, random),
        ]);
        const late = bodies.map(body => countLate(runners, body));
        assert.ok(Math.max(...late) <= MAX_LATE, `late: ${late.join()}`);
        for (let host = 0; host < HOSTS; host++)
          assert.ok(await isServed(fixture, host), `host ${host} serves`);
      });
});
