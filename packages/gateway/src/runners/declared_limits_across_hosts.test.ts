// Guards against exceeding a declared limit: a runner that declared 2 requests per second received 30 in 4 s.
// The test runs four hosts in two places that do not know what the others send.
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
/** Time between two calls, over all hosts, in ms. */
const CALL_PAUSE_MS = 25;
const PER_SECOND = 2;
/** How the platform counts calls against a limit, as its rules say. */
const BOUND = {contactMs: 3_000, windowMs: 4_000, overage: 1.5, slack: 5};
/** Time after a response with a limit from which the host must keep the limit, in ms. */
const BOUND_AFTER_MS = 500;

interface Arrival {
  readonly at: number;
  readonly host: number;
}

let fixture: GatewayFixture;
let runners: ScriptedRunner[];
/** Declared limits by runner id; the other runners declare none. */
let limits: Map<string, number>;
let arrivals: Map<string, Arrival[]>;
/** When each host first passed a runner's limit on to a caller, by host and runner. */
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
  const seenCalls: Arrival[] = [];
  arrivals.set(id, seenCalls);
  return new ScriptedRunner({
    id,
    place: PLACES[index % PLACES.length],
    script: ({id: request, headers}, response) => {
      const host = Number(headers['x-by']);
      seenCalls.push({at: performance.now(), host});
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

/** Sends calls to all hosts in turn for the given time. */
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

function findExcess(id: string, declaredAt: number, until: number) {
  return findLimitExcess({
    ...BOUND,
    until,
    limits: [{at: declaredAt, perSecond: limits.get(id)!}],
    arrivals: arrivals.get(id)!.map(({at, host}) => ({
      at,
      boundAt: (passedOn.get(`${host}|${id}`) ?? Infinity) + BOUND_AFTER_MS,
    })),
  });
}

void test('all hosts together keep the limit that a runner declares', async () => {
  await callFor(1_000);
  const declaredAt = performance.now();
  limits.set('i-0', PER_SECOND);
  const answers = await callFor(9_000);
  assert.equal(findExcess('i-0', declaredAt, performance.now()), undefined);
  assert.ok(answers.every(({status}) => status === 200));
});

void test('hosts learn a limit from each other before they have called the runner', async () => {
  limits.set('i-0', PER_SECOND);
  await fixture.waitFor(async () => {
    await callAt(0);
    return arrivals.get('i-0')!.length > 0;
  });
  const changes = () => fixture.events('runner_limit_changed');
  await fixture.waitFor(() => changes().length >= HOSTS);
  const fromPeers = changes().filter(({source}) => source === 'another host');
  assert.equal(fromPeers.length, HOSTS - 1);
  assert.ok(fromPeers.every(({perSecond}) => perSecond === PER_SECOND));
});

/** Lets all runners declare a limit, and waits until all hosts know it. */
async function limitAll(perSecond: number): Promise<void> {
  for (const {entry} of runners) limits.set(entry.id, perSecond);
  const changes = () => fixture.events('runner_limit_changed');
  await fixture.waitFor(async () => {
    await callFor(100);
    return changes().length >= HOSTS * RUNNERS;
  });
}

void test('if all runners declare limits, these are used, further calls are refused at once as not run, and all are served again after the limits end', async () => {
  await limitAll(PER_SECOND);
  const startedAt = performance.now();
  const answers = await callFor(8_800);
  const seconds = (performance.now() - startedAt) / 1_000;
  const served = answers.filter(({status}) => status === 200);
  const refused = answers.filter(({status}) => status === 503);
  assert.equal(served.length + refused.length, answers.length);
  const limitTotal = RUNNERS * PER_SECOND * seconds;
  assert.ok(
    served.length >= limitTotal / 2,
    `${served.length} of ${limitTotal}`,
  );
  assert.ok(served.length <= limitTotal, `${served.length} of ${limitTotal}`);
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

void test('if all runners declare limits, urgent calls are refused last', async () => {
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
  // The other calls are sent first each time.
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
