// A runner that named 2 requests a second got 30 in 4 s: four hosts in two places, of which none knows what the others send, play it here.
import assert from 'node:assert/strict';
import {afterEach, beforeEach, test} from 'node:test';
import {findLimitExcess} from '@bayspool/decisions/calls/testing';
import type {CallerResult} from '../testing/caller_result.js';
import {GatewayFixture} from '../testing/gateway_fixture.js';
import {plainHeaderNames as names} from '../testing/plain_header_names.js';
import {ScriptedRunner} from '../testing/scripted_runner.js';

const PLACES = ['a', 'b'];
const HOSTS = 4;
const RUNNERS = 4;
/** Pause between two calls, over all hosts, in ms. */
const CALL_PAUSE_MS = 25;
const PER_SECOND = 2;
/** How the platform counts: see the pages of its rules. */
const BOUND = {contactMs: 3_000, windowMs: 4_000, overage: 1.5, slack: 5};
/** Time behind an answer that names a limit from which its host has to keep to it, in ms. */
const BOUND_AFTER_MS = 500;

interface Seen {
  readonly at: number;
  readonly host: number;
}

let fixture: GatewayFixture;
let runners: ScriptedRunner[];
/** What each runner names; absent ones name nothing. */
let limits: Map<string, number>;
let arrivals: Map<string, Seen[]>;
/** When each host first passed on a limit of a runner, by both names. */
let passedOn: Map<string, number>;

beforeEach(async () => {
  fixture = new GatewayFixture();
  limits = new Map();
  arrivals = new Map();
  passedOn = new Map();
  runners = Array.from({length: RUNNERS}, (_, i) => createRunner(i));
  fixture.configure([{}]);
  for (const runner of runners) await fixture.addRunner(runner);
  for (let i = 0; i < HOSTS; i++)
    await fixture.startHost({place: PLACES[i % PLACES.length]});
  for (let i = 0; i < HOSTS; i++) await fixture.waitReady(i);
  await fixture.waitFor(
    () => fixture.events('peer_seen').length >= HOSTS * (HOSTS - 1),
  );
});

afterEach(() => fixture.stop());

function createRunner(index: number): ScriptedRunner {
  const id = `i-${index}`;
  const seen: Seen[] = [];
  arrivals.set(id, seen);
  return new ScriptedRunner({
    id,
    place: PLACES[index % PLACES.length],
    script: ({id: request, headers}, response) => {
      const host = Number(headers['x-by']);
      seen.push({at: performance.now(), host});
      const limit = limits.get(id);
      const head = {
        [names.requestId]: request,
        [names.signature]: id,
        ...(limit !== undefined && {[names.limit]: String(limit)}),
      };
      response.writeHead(200, head).end('whole');
    },
  });
}

/** Callers ask all hosts in turn for a time. */
async function callFor(forMs: number, path?: string): Promise<CallerResult[]> {
  const until = performance.now() + forMs;
  const answers: Array<Promise<CallerResult>> = [];
  for (let host = 0; performance.now() < until; host = (host + 1) % HOSTS) {
    answers.push(callAt(host, path));
    await new Promise(resolve => setTimeout(resolve, CALL_PAUSE_MS));
  }
  return Promise.all(answers);
}

async function callAt(host: number, path?: string): Promise<CallerResult> {
  const headers = {'x-by': String(host)};
  const answer = await fixture.call({host, path, headers});
  const key = `${host}|${String(answer.headers[names.signature])}`;
  if (answer.headers[names.limit] !== undefined && !passedOn.has(key))
    passedOn.set(key, performance.now());
  return answer;
}

function excessAt(id: string, namedAt: number, until: number) {
  return findLimitExcess({
    ...BOUND,
    until,
    limits: [{at: namedAt, perSecond: limits.get(id)!}],
    arrivals: arrivals.get(id)!.map(({at, host}) => ({
      at,
      boundAt: (passedOn.get(`${host}|${id}`) ?? Infinity) + BOUND_AFTER_MS,
    })),
  });
}

void test('a runner that names a limit gets no more than that from all hosts together', async () => {
  await callFor(1_000);
  const namedAt = performance.now();
  limits.set('i-0', PER_SECOND);
  const answers = await callFor(9_000);
  assert.equal(excessAt('i-0', namedAt, performance.now()), undefined);
  assert.ok(answers.every(({status}) => status === 200));
});

void test('hosts hear from each other that a runner is in need before they have asked it', async () => {
  limits.set('i-0', PER_SECOND);
  await fixture.waitFor(async () => {
    await callAt(0);
    return arrivals.get('i-0')!.length > 0;
  });
  const changes = () => fixture.events('runner_limit_changed');
  await fixture.waitFor(() => changes().length >= HOSTS);
  const told = changes().filter(({source}) => source === 'another host');
  assert.equal(told.length, HOSTS - 1);
  assert.ok(told.every(({perSecond}) => perSecond === PER_SECOND));
});

/** All runners name a limit, and all hosts know. */
async function limitAll(perSecond: number): Promise<void> {
  for (const {entry} of runners) limits.set(entry.id, perSecond);
  const changes = () => fixture.events('runner_limit_changed');
  await fixture.waitFor(async () => {
    await callFor(100);
    return changes().length >= HOSTS * RUNNERS;
  });
}

void test('where all runners name limits, what they take is used, the rest refused at once as not run, and all is served again', async () => {
  await limitAll(PER_SECOND);
  const startedAt = performance.now();
  const answers = await callFor(8_800);
  const seconds = (performance.now() - startedAt) / 1_000;
  const served = answers.filter(({status}) => status === 200);
  const refused = answers.filter(({status}) => status === 503);
  assert.equal(served.length + refused.length, answers.length);
  const taken = RUNNERS * PER_SECOND * seconds;
  assert.ok(served.length >= taken / 2, `${served.length} of ${taken}`);
  assert.ok(served.length <= taken, `${served.length} of ${taken}`);
  for (const {headers} of refused)
    assert.ok(Number(headers['retry-after']) > 0);
  const failed = fixture.events('request_failed');
  assert.ok(
    failed.every(({attempts, hasRun}) => attempts === 0 && hasRun === 'no'),
  );
  const [{request}] = failed;
  const withheld = fixture
    .events('runner_withheld')
    .filter(line => line.request === request);
  assert.equal(withheld[0].perSecond, PER_SECOND);
  assert.equal(withheld[0].withheld, RUNNERS);
  assert.ok(Number(withheld[0].ageMs) >= 0);
  limits.clear();
  await fixture.waitFor(async () => {
    const later = await callFor(300);
    return later.every(({status}) => status === 200);
  });
});

void test('where all runners name limits, urgent calls are refused last', async () => {
  fixture.configure([
    {name: 'urgent', pathPrefix: '/urgent/', priority: 0},
    {name: 'other', pathPrefix: '/other/', priority: 2},
  ]);
  await fixture.waitFor(async () => {
    const answers = await Promise.all(
      fixture.hosts.map((_, host) => callAt(host, '/urgent/1')),
    );
    return answers.every(({status}) => status === 200);
  });
  for (const {entry} of runners) limits.set(entry.id, PER_SECOND);
  await callFor(1_000, '/other/1');
  // The others ask first each time.
  const [other, urgent] = await Promise.all([
    callFor(9_000, '/other/1'),
    callFor(9_000, '/urgent/1'),
  ]);
  const countServed = (answers: readonly CallerResult[]) =>
    answers.filter(({status}) => status === 200).length;
  assert.ok(
    countServed(urgent) > 2 * countServed(other),
    `${countServed(urgent)} urgent, ${countServed(other)} others`,
  );
  assert.ok(countServed(other) > 0);
});
