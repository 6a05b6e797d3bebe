import assert from 'node:assert/strict';
import type {ServerResponse} from 'node:http';
import {afterEach, beforeEach, test} from 'node:test';
import {CallKind} from '@bayspool/decisions/calls';
import {Topic} from '../records/topic.js';
import {GatewayFixture} from '../testing/gateway_fixture.js';
import {plainHeaderNames as names} from '../testing/plain_header_names.js';
import {ScriptedRunner} from '../testing/scripted_runner.js';

type Script = ScriptedRunner['script'];

let fixture: GatewayFixture;
let first: ScriptedRunner;
let second: ScriptedRunner;

beforeEach(async () => {
  fixture = new GatewayFixture();
  first = new ScriptedRunner({id: 'one'});
  second = new ScriptedRunner({id: 'two'});
});

afterEach(async () => {
  await fixture.stop();
  first.stop();
  second.stop();
});

function serve(runners: ScriptedRunner[], extra = {}) {
  return fixture.serve({kind: CallKind.RESUMABLE, ...extra}, runners);
}

function writeHead(id: string, response: ServerResponse, confidence?: number) {
  response.writeHead(200, {
    [names.requestId]: id,
    [names.signature]: 'signed',
    'content-type': 'text/event-stream',
    ...(confidence !== undefined && {[names.confidence]: String(confidence)}),
  });
}

function event(id: number): string {
  return `id: ${id}\ndata: piece ${id}\n\n`;
}

/** Streams the events up to the fifth that follow the last one named in the request. */
const streamAll: Script = ({id, headers}, response) => {
  writeHead(id, response);
  const from = Number(headers[names.lastEventId] ?? 0) + 1;
  for (let i = from; i <= 5; i++) response.write(event(i));
  response.end();
};

const ALL_EVENTS = [1, 2, 3, 4, 5].map(event).join('');

void test('events are passed on unchanged, to the end', async () => {
  await serve([first]);
  first.script = streamAll;
  const result = await fixture.call();
  assert.equal(result.body, ALL_EVENTS);
  assert.ok(result.isComplete);
});

void test('a stream that is truncated inside an event continues at another runner', async () => {
  await serve([first, second]);
  let requestCount = 0;
  first.script = second.script = (request, response) => {
    if (requestCount++ > 0) return streamAll(request, response);
    writeHead(request.id, response);
    response.write(event(1) + event(2) + 'id: 3\ndata: pie');
    setTimeout(() => request.socket.destroy(), 30);
  };
  const result = await fixture.call();
  assert.equal(result.body, ALL_EVENTS);
  assert.ok(result.isComplete);
  const [resumed] = [...first.received, ...second.received].filter(
    ({headers}) => headers[names.lastEventId] !== undefined,
  );
  assert.equal(resumed.headers[names.lastEventId], '2');
});

void test('a stream that began in chunks is completed by a runner that gives no length and ends in the ordinary way', async () => {
  await serve([first, second]);
  let requestCount = 0;
  first.script = second.script = (request, response) => {
    if (requestCount++ > 0) {
      response.useChunkedEncodingByDefault = false;
      response.shouldKeepAlive = false;
      return streamAll(request, response);
    }
    writeHead(request.id, response);
    response.write(event(1) + event(2));
    setTimeout(() => request.socket.destroy(), 30);
  };
  const result = await fixture.call();
  assert.equal(result.body, ALL_EVENTS);
  assert.ok(result.isComplete);
  assert.equal(first.received.length + second.received.length, 2);
});

void test('a stream that falls silent continues at another runner', async () => {
  await serve([first, second], {timeLimitMs: 4_000});
  let requestCount = 0;
  first.script = second.script = (request, response) => {
    if (requestCount++ > 0) return streamAll(request, response);
    writeHead(request.id, response);
    response.write(event(1));
  };
  const result = await fixture.call();
  assert.equal(result.body, ALL_EVENTS);
});

void test('a caller resumes after the event that it names', async () => {
  await serve([first]);
  first.script = streamAll;
  const result = await fixture.call({headers: {[names.lastEventId]: '3'}});
  assert.equal(result.body, event(4) + event(5));
});

void test('duplicate events are skipped, and events after a gap are not passed on', async () => {
  await serve([first, second]);
  let requestCount = 0;
  first.script = second.script = (request, response) => {
    writeHead(request.id, response);
    const parts = requestCount++ > 0 ? [2, 3, 4, 5] : [1, 2, 4];
    for (const part of parts) response.write(event(part));
    response.end();
  };
  const result = await fixture.call();
  assert.equal(result.body, ALL_EVENTS);
});

void test('a stream that no runner can continue does not look complete', async () => {
  await serve([first], {attempts: 1});
  first.script = (request, response) => {
    writeHead(request.id, response);
    response.write(event(1));
    setTimeout(() => request.socket.destroy(), 30);
  };
  const result = await fixture.call();
  assert.equal(result.body, event(1));
  assert.equal(result.isComplete, false);
});

void test('a stream that may run only once is not retried', async () => {
  await serve([first, second], {kind: CallKind.STREAM});
  first.script = second.script = (request, response) => {
    writeHead(request.id, response);
    response.write(event(1));
    setTimeout(() => request.socket.destroy(), 30);
  };
  const result = await fixture.call();
  assert.equal(result.isComplete, false);
  assert.equal(first.received.length + second.received.length, 1);
});

void test('a low-confidence response of a small model is replaced by one of the largest', async () => {
  await serve([first, second], {models: ['small', 'middle', 'large']});
  first.script = second.script = (request, response) => {
    const isLarge = request.headers[names.model] === 'large';
    writeHead(request.id, response, isLarge ? 95 : 20);
    response.end(event(isLarge ? 1 : 9));
  };
  const headers = {[names.model]: '*', [names.promptSize]: '100,20'};
  const result = await fixture.call({headers});
  assert.equal(result.body, event(1));
  const models = [...first.received, ...second.received].map(
    request => request.headers[names.model],
  );
  assert.deepEqual(models.sort(), ['large', 'small']);
});

/** Serves a small and a large model with a fixed retry budget. */
async function serveModels(retryExtra: number): Promise<void> {
  fixture.configure([{kind: CallKind.RESUMABLE, models: ['small', 'large']}]);
  for (const runner of [first, second]) await fixture.addRunner(runner);
  await fixture.startHost({retryRatio: 0, retryExtra});
  await fixture.waitReady();
}

/** Makes a call that has to be answered completely. @returns the models of its attempts, sorted */
async function callAndListModels(): Promise<unknown[]> {
  const headers = {[names.model]: '*', [names.promptSize]: '100,20'};
  const result = await fixture.call({headers});
  assert.equal(result.body, ALL_EVENTS);
  assert.ok(result.isComplete);
  return [...first.received, ...second.received]
    .map(request => request.headers[names.model])
    .sort();
}

void test('the retry budget is kept for truncated streams rather than spent on escalation', async () => {
  await serveModels(2);
  let requestCount = 0;
  first.script = second.script = (request, response) => {
    if (requestCount++ > 0) return streamAll(request, response);
    writeHead(request.id, response, 20);
    response.write(event(1) + event(2));
    setTimeout(() => request.socket.destroy(), 30);
  };
  assert.deepEqual(await callAndListModels(), ['small', 'small']);
});

void test('a started response may use more of the retry budget than one that has not started', async () => {
  await serveModels(2.6);
  first.script = second.script = (request, response) => {
    const isLarge = request.headers[names.model] === 'large';
    if (request.headers[names.lastEventId] !== undefined)
      return streamAll(request, response);
    writeHead(request.id, response, isLarge ? 95 : 20);
    response.write(event(1) + event(2));
    setTimeout(() => request.socket.destroy(), 30);
  };
  assert.deepEqual(await callAndListModels(), ['large', 'large', 'small']);
});

void test('a high-confidence response of a small model is used', async () => {
  await serve([first], {models: ['small', 'large']});
  first.script = (request, response) => {
    writeHead(request.id, response, 80);
    response.end(event(1));
  };
  const headers = {[names.model]: '*', [names.promptSize]: '100,20'};
  const result = await fixture.call({headers});
  assert.equal(result.body, event(1));
  assert.equal(first.received.length, 1);
  assert.equal(first.received[0].headers[names.priority], '1');
});

void test('a request that names a model where it must be left open is rejected', async () => {
  await serve([first], {models: ['small', 'large']});
  const result = await fixture.call({headers: {[names.model]: 'large'}});
  assert.equal(result.status, 421);
  assert.equal(first.received.length, 0);
});

/** Maximum duration of the rollout, in ms; all calls go to the new version after 0.74 of it. */
const ROLLOUT_MS = 6_000;

void test('a stream that is truncated after the rollout continues with the version that started it', async () => {
  const other = new ScriptedRunner({id: 'one-more'});
  const fresh = new ScriptedRunner({id: 'fresh', version: 'v2'});
  // The targets are so long that the pause before the truncation doesn't exceed the silence timeout.
  await serve([first, other, fresh], {
    timeLimitMs: 8_000,
    latencyTargetMs: 8_000,
    pauseTargetMs: 8_000,
  });
  const requestedVersions: string[] = [];
  first.script = other.script = (request, response) => {
    requestedVersions.push('v1');
    if (requestedVersions.length > 1) return streamAll(request, response);
    writeHead(request.id, response);
    response.write(event(1) + event(2));
    const breakAt = orderedAt + ROLLOUT_MS * 0.78;
    setTimeout(() => request.socket.destroy(), breakAt - performance.now());
  };
  fresh.script = (request, response) => {
    requestedVersions.push('v2');
    streamAll(request, response);
  };
  const orderedAt = performance.now();
  fixture.store.put(Topic.OPERATOR, 'rollout/svc', {
    service: 'svc',
    version: 'v2',
    durationMs: ROLLOUT_MS,
  });
  await fixture.waitFor(() => fixture.events('rollout_ordered').length === 1);
  const session = {[names.session]: 'session'};
  const result = await fixture.call({headers: session});
  assert.equal(result.body, ALL_EVENTS);
  assert.deepEqual(requestedVersions, ['v1', 'v1']);
});

// When a rollout completed, the platform stopped the old runners immediately, and callers lost the
// streams that these had started: six during one configuration change on one day, more than may be
// lost. The documentation allows a response to continue at another runner, and describes a change
// of version within a stream.
void test('a started stream whose version has no runner left continues at another version, completely and without delay', async () => {
  const fresh = new ScriptedRunner({id: 'fresh', version: 'v2'});
  await serve([first, fresh], {timeLimitMs: 8_000});
  fresh.script = streamAll;
  first.script = (request, response) => {
    writeHead(request.id, response);
    response.write(event(1) + event(2));
    fixture.store.put(Topic.RUNNERS, 'one', {...first.entry, isDraining: true});
    setTimeout(() => request.socket.destroy(), 300);
  };
  let result = await fixture.call();
  while (first.received.length === 0) result = await fixture.call();
  assert.equal(result.body, ALL_EVENTS);
  assert.equal(result.isComplete, true);
  assert.ok(result.durationMs < 2_000, `ended after ${result.durationMs} ms`);
  const [resumed] = fresh.received.filter(
    ({headers}) => headers[names.lastEventId] !== undefined,
  );
  assert.equal(resumed.headers[names.lastEventId], '2');
});

// The same while the entries of the stopped runners still exist: four streams were lost on such a
// day, each after its host had tried ten of these runners within a tenth of a second.
void test('a started stream continues at another version when the runners of its own are unreachable', async () => {
  const unreachable = Array.from(
    {length: 12},
    (_, i) => new ScriptedRunner({id: `gone-${i}`}),
  );
  const fresh = new ScriptedRunner({id: 'fresh', version: 'v2'});
  await serve([first, fresh, ...unreachable], {timeLimitMs: 8_000});
  for (const runner of [fresh, ...unreachable]) runner.script = streamAll;
  first.script = (request, response) => {
    writeHead(request.id, response);
    response.write(event(1) + event(2));
    setTimeout(() => {
      for (const runner of [first, ...unreachable]) runner.stop();
    }, 300);
  };
  let result = await fixture.call();
  while (first.received.length === 0) result = await fixture.call();
  assert.equal(result.body, ALL_EVENTS);
  assert.ok(result.isComplete);
});

void test('a started stream whose continuation is answered with a client error goes on at another runner', async () => {
  const third = new ScriptedRunner({id: 'three'});
  await serve([first, second, third]);
  let requestCount = 0;
  const answer: Script = (request, response) => {
    requestCount += 1;
    if (requestCount === 2)
      return void response
        .writeHead(404, {[names.requestId]: request.id})
        .end();
    if (requestCount > 2) return streamAll(request, response);
    writeHead(request.id, response);
    response.write(event(1) + event(2));
    setTimeout(() => request.socket.destroy(), 30);
  };
  first.script = second.script = third.script = answer;
  const result = await fixture.call();
  assert.deepEqual(fixture.events('unexpected'), []);
  assert.equal(result.body, ALL_EVENTS);
  assert.ok(result.isComplete);
});

void test('a started stream goes to an ejected runner that is untried before it goes again to one that failed it', async () => {
  await serve([first, second], {timeLimitMs: 8_000});
  first.script = streamAll;
  second.script = ({id}, response) => {
    response.writeHead(500, {[names.requestId]: id}).end();
  };
  while (fixture.events('runner_ejected').length === 0) await fixture.call();
  second.script = streamAll;
  first.script = ({id, headers, socket}, response) => {
    if (headers[names.lastEventId] !== undefined)
      return void response.writeHead(500, {[names.requestId]: id}).end();
    writeHead(id, response);
    response.write(event(1) + event(2));
    setTimeout(() => socket.destroy(), 30);
  };
  const result = await fixture.call();
  assert.equal(result.body, ALL_EVENTS);
  assert.ok(result.isComplete);
});
