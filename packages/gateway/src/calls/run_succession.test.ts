import assert from 'node:assert/strict';
import {afterEach, beforeEach, test} from 'node:test';
import {CallKind} from '@bayspool/decisions/calls';
import {formatEvent} from '../testing/format_event.js';
import {GatewayFixture} from '../testing/gateway_fixture.js';
import {plainHeaderNames as names} from '../testing/plain_header_names.js';
import {ScriptedRunner} from '../testing/scripted_runner.js';
import {writeStreamHead} from '../testing/write_stream_head.js';

type Script = ScriptedRunner['script'];

/** Longer than the silence after which a second run is started, in ms. */
const PAUSE_MS = 1_300;
const ALL_EVENTS = [1, 2, 3].map(formatEvent).join('');

let fixture: GatewayFixture;
let first: ScriptedRunner;

beforeEach(() => {
  fixture = new GatewayFixture();
});

afterEach(() => fixture.stop());

function sleep(forMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, forMs));
}

const turnAway: Script = ({id}, response) => {
  const head = {[names.requestId]: id, [names.notRun]: '1'};
  response.writeHead(503, head).end();
};

/** Sends the first event, pauses and sends the others. */
const pauseAfterFirst: Script = ({id}, response) => {
  writeStreamHead(id, response);
  response.write(formatEvent(1));
  setTimeout(() => response.end(formatEvent(2) + formatEvent(3)), PAUSE_MS);
};

/** Answers late, and in one piece. */
const answerLate: Script = ({id}, response) => {
  setTimeout(() => {
    writeStreamHead(id, response);
    response.end(ALL_EVENTS);
  }, PAUSE_MS);
};

/** Sends the events that the caller does not have, after a time. */
function continueAfter(delayMs: number): Script {
  return ({id, headers}, response) => {
    const from = Number(headers[names.lastEventId] ?? 0);
    setTimeout(() => {
      writeStreamHead(id, response);
      response.end([1, 2, 3].slice(from).map(formatEvent).join(''));
    }, delayMs);
  };
}

/** Starts a host and a first runner, which gets the call; the others are added while the call is under way. */
async function callWith(
  kind: CallKind,
  script: Script,
  others: readonly Script[],
  disconnectAfterMs?: number,
): ReturnType<GatewayFixture['call']> {
  const timeLimitMs = 6_000;
  fixture.configure([{kind, timeLimitMs, latencyTargetMs: 600}]);
  first = new ScriptedRunner({id: 'first', script});
  await fixture.addRunner(first);
  await fixture.startHost({retryRatio: 20});
  await fixture.waitReady();
  const call = fixture.call({disconnectAfterMs});
  await fixture.waitFor(() => first.received.length === 1);
  for (const [index, other] of others.entries())
    await fixture.addRunner(
      new ScriptedRunner({id: `other-${index}`, script: other}),
    );
  return call;
}

function outcomesOf(runner: string): unknown[] {
  return fixture
    .events('attempt_ended')
    .filter(line => line.runner === runner)
    .map(line => line.outcome);
}

for (const kind of [CallKind.RESUMABLE, CallKind.SAFE])
  void test(`a late answer of kind ${kind} arrives although all other runners turn the call away`, async () => {
    const {status, body} = await callWith(kind, answerLate, [
      turnAway,
      turnAway,
    ]);
    assert.equal(status, 200);
    assert.equal(body, ALL_EVENTS);
  });

void test('the second run delivers, and the first is ended at once', async () => {
  const {body, isComplete, durationMs} = await callWith(
    CallKind.RESUMABLE,
    pauseAfterFirst,
    [continueAfter(20)],
  );
  assert.equal(body, ALL_EVENTS);
  assert.ok(isComplete);
  assert.ok(durationMs < PAUSE_MS, `${durationMs} ms`);
  await fixture.waitFor(() => first.abortedIds.length === 1);
  assert.deepEqual(outcomesOf('first'), ['broken']);
});

void test('a runner that goes on first ends the second run, whose runner is not blamed', async () => {
  const {body, isComplete} = await callWith(
    CallKind.RESUMABLE,
    pauseAfterFirst,
    [continueAfter(PAUSE_MS)],
  );
  assert.equal(body, ALL_EVENTS);
  assert.ok(isComplete);
  assert.deepEqual(outcomesOf('other-0'), ['superseded']);
  assert.deepEqual(outcomesOf('first'), ['answered']);
  assert.equal(fixture.events('runner_ejected').length, 0);
});

void test('both runs end when the caller leaves', async () => {
  const silent: Script = ({id}, response) => {
    writeStreamHead(id, response);
    response.write(formatEvent(1));
  };
  const call = callWith(
    CallKind.RESUMABLE,
    silent,
    [() => undefined],
    PAUSE_MS,
  );
  await assert.rejects(call.then(({isComplete}) => assert.ok(isComplete)));
  const runs = () => fixture.events('attempt_ended').map(line => line.outcome);
  await fixture.waitFor(() => runs().length === 2);
  assert.deepEqual(runs(), ['ended', 'ended']);
  await fixture.waitFor(() => first.abortedIds.length === 1);
});

void test('a call gets no more runs than its route allows, those under way included', async () => {
  const never: Script = () => undefined;
  const {body} = await callWith(CallKind.RESUMABLE, pauseAfterFirst, [
    never,
    never,
    never,
    never,
  ]);
  assert.equal(body, ALL_EVENTS);
  await sleep(100);
  assert.ok(fixture.events('attempt_ended').length <= 3);
});

void test('a decision on a silent run is logged with what it went by, once for each result', async () => {
  await callWith(CallKind.RESUMABLE, pauseAfterFirst, []);
  const lines = fixture.events('successor_decided');
  assert.equal(lines.length, 1);
  assert.equal(lines[0].refusal, 'no other runner');
  assert.ok(Number(lines[0].silentMs) > 300);
  assert.equal(lines[0].hasStarted, true);
});
