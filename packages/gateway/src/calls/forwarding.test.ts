import assert from 'node:assert/strict';
import {Agent} from 'node:http';
import {afterEach, beforeEach, test} from 'node:test';
import {CallKind} from '@bayspool/decisions/calls';
import {GatewayFixture} from '../testing/gateway_fixture.js';
import {plainHeaderNames as names} from '../testing/plain_header_names.js';
import {ScriptedRunner} from '../testing/scripted_runner.js';

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

/** Starts one host with a route of this kind and the runners given. */
async function serve(kind: CallKind, runners: ScriptedRunner[], extra = {}) {
  fixture.configure([{kind, ...extra}]);
  for (const runner of runners) await fixture.addRunner(runner);
  await fixture.startHost();
  await fixture.waitReady();
}

void test('a call arrives unchanged, and its answer comes back unchanged', async () => {
  await serve(CallKind.UNSAFE, [first]);
  const answer = await fixture.call({path: '/x/1?q=%20a', body: 'some bytes'});
  const [seen] = first.received;
  assert.equal(answer.status, 200);
  assert.equal(answer.body, 'whole body');
  assert.equal(answer.headers[names.signature], 'signed');
  assert.equal(seen.path, '/x/1?q=%20a');
  assert.equal(seen.body, 'some bytes');
  assert.equal(seen.headers[names.expectedRunner], 'one');
  const leftMs = Number(seen.headers[names.deadline]);
  assert.ok(leftMs <= 2_000 && leftMs > 1_000, `${leftMs} ms left`);
});

void test('what only the gateway may set is dropped from what a caller sends', async () => {
  await serve(CallKind.UNSAFE, [first]);
  const forged = {
    'x-hold': 'h',
    [names.workspace]: 'other',
    [names.apiKey]: 'k',
  };
  await fixture.call({headers: forged});
  const {headers} = first.received[0];
  assert.equal(headers['x-hold'], undefined);
  assert.equal(headers[names.workspace], undefined);
  assert.equal(headers[names.apiKey], undefined);
});

void test('a connection to a runner serves one call after the other', async () => {
  await serve(CallKind.SAFE, [first]);
  for (let i = 0; i < 4; i++) await fixture.call();
  assert.equal(first.received.length, 4);
  assert.equal(first.connections, 1);
});

void test('a call that may run once is not sent again when its runner resets', async () => {
  await serve(CallKind.UNSAFE, [first, second]);
  first.script = second.script = ({socket}) => socket.resetAndDestroy();
  const answer = await fixture.call();
  assert.equal(answer.status, 502);
  assert.equal(first.received.length + second.received.length, 1);
  assert.equal(answer.headers['retry-after'], undefined);
});

void test('a call that a runner did not run goes to another one', async () => {
  await serve(CallKind.UNSAFE, [first, second]);
  let refused = 0;
  const answerWhole = first.script;
  first.script = second.script = (request, response) => {
    if (refused++ > 0) return answerWhole(request, response);
    response.writeHead(503, {[names.notRun]: '1'}).end();
  };
  const answer = await fixture.call();
  assert.equal(answer.status, 200);
  assert.equal(first.received.length, 1);
  assert.equal(second.received.length, 1);
});

void test('a refusal of all runners is told as not run, with the time to come back', async () => {
  await serve(CallKind.UNSAFE, [first]);
  first.script = (_request, response) =>
    response.writeHead(503, {[names.notRun]: '1'}).end();
  const answer = await fixture.call();
  assert.equal(answer.status, 503);
  assert.ok(Number(answer.headers['retry-after']) > 0);
});

void test('a safe call that fails at one runner is answered by another', async () => {
  await serve(CallKind.SAFE, [first, second]);
  let failed = 0;
  const answerWhole = first.script;
  first.script = second.script = (request, response) => {
    if (failed++ > 0) return answerWhole(request, response);
    response.writeHead(500, {[names.requestId]: request.id}).end('failed');
  };
  const answer = await fixture.call();
  assert.equal(answer.status, 200);
});

void test('the last failure of a runner is passed on as it is', async () => {
  await serve(CallKind.SAFE, [first], {attempts: 2});
  first.script = (request, response) =>
    response
      .writeHead(500, {[names.requestId]: request.id, [names.signature]: 's'})
      .end('failed');
  const answer = await fixture.call();
  assert.equal(answer.status, 500);
  assert.equal(answer.headers[names.signature], 's');
  assert.equal(answer.body, 'failed');
});

void test('no more runners are asked than the route allows', async () => {
  const third = new ScriptedRunner({id: 'three'});
  await serve(CallKind.SAFE, [first, second, third], {attempts: 2});
  const fail: ScriptedRunner['script'] = (request, response) =>
    response.writeHead(500, {[names.requestId]: request.id}).end();
  for (const runner of [first, second, third]) runner.script = fail;
  await fixture.call();
  const sent = [first, second, third].map(({received}) => received.length);
  assert.equal(
    sent.reduce((sum, count) => sum + count),
    2,
  );
  third.stop();
});

void test('an answer to another request is not passed on', async () => {
  await serve(CallKind.UNSAFE, [first]);
  const answerWhole = first.script;
  first.script = (request, response) =>
    answerWhole({...request, id: 'another'}, response);
  const answer = await fixture.call();
  assert.equal(answer.status, 502);
  assert.notEqual(answer.body, 'whole body');
});

void test('bytes behind a whole answer do not reach the next call', async () => {
  await serve(CallKind.SAFE, [first]);
  const answerWhole = first.script;
  first.script = (request, response) => {
    answerWhole(request, response);
    const surplus = `HTTP/1.1 200 OK\r\n${names.requestId}: ${request.id}\r\n${names.signature}: s\r\ncontent-length: 5\r\n\r\nwrong`;
    response.on('finish', () =>
      setTimeout(() => request.socket.write(surplus)),
    );
  };
  await fixture.call();
  await new Promise(resolve => setTimeout(resolve, 50));
  const next = await fixture.call();
  assert.equal(next.body, 'whole body');
});

void test('an answer cut short is not passed on as whole', async () => {
  await serve(CallKind.UNSAFE, [first]);
  first.script = ({id, socket}, response) => {
    response.writeHead(200, {
      [names.requestId]: id,
      [names.signature]: 's',
      'content-length': 100,
    });
    response.write('half');
    setTimeout(() => socket.destroy(), 20);
  };
  const answer = await fixture.call();
  assert.equal(answer.status, 502);
});

void test('an answer without a length is passed on without one', async () => {
  await serve(CallKind.UNSAFE, [first]);
  first.script = ({id, socket}) => {
    socket.write(
      `HTTP/1.1 200 OK\r\n${names.requestId}: ${id}\r\n${names.signature}: s\r\nconnection: close\r\n\r\nup to here`,
    );
    setTimeout(() => socket.end(), 20);
  };
  const answer = await fixture.call();
  assert.equal(answer.status, 200);
  assert.equal(answer.body, 'up to here');
  assert.equal(answer.isFramed, false);
});

void test('an answer without a length that is reset is not passed on', async () => {
  await serve(CallKind.UNSAFE, [first]);
  first.script = ({id, socket}) => {
    socket.write(
      `HTTP/1.1 200 OK\r\n${names.requestId}: ${id}\r\n${names.signature}: s\r\n\r\nup to`,
    );
    setTimeout(() => socket.resetAndDestroy(), 20);
  };
  const answer = await fixture.call();
  assert.equal(answer.status, 502);
});

void test('an unsigned or encoded success is not passed on', async () => {
  await serve(CallKind.UNSAFE, [first]);
  first.script = ({id}, response) =>
    response.writeHead(200, {[names.requestId]: id}).end('unsigned');
  assert.equal((await fixture.call()).status, 502);
});

void test('a call gets its final answer when its time is over', async () => {
  await serve(CallKind.UNSAFE, [first], {timeLimitMs: 300});
  first.script = () => undefined;
  const answer = await fixture.call();
  assert.equal(answer.status, 504);
  assert.ok(answer.forMs > 250 && answer.forMs < 600, `${answer.forMs} ms`);
});

void test('a caller that leaves takes its call away from the runner', async () => {
  await serve(CallKind.SAFE, [first], {latencyTargetMs: 5_000});
  first.script = () => undefined;
  await fixture.call({leaveAfterMs: 100}).catch(() => undefined);
  const leftAt = performance.now();
  await fixture.waitFor(() => first.left.length === 1);
  assert.ok(performance.now() - leftAt < 400);
});

void test('a silent runner of a safe call is given up for another one', async () => {
  await serve(CallKind.SAFE, [first, second], {latencyTargetMs: 300});
  let asked = 0;
  const answerWhole = first.script;
  first.script = second.script = (request, response) => {
    if (asked++ > 0) answerWhole(request, response);
  };
  const answer = await fixture.call();
  assert.equal(answer.status, 200);
  assert.ok(answer.forMs < 600, `${answer.forMs} ms`);
});

void test('a request with two lengths is refused and reaches no runner', async () => {
  await serve(CallKind.UNSAFE, [first]);
  const agent = new Agent({keepAlive: true});
  const answer = await fixture
    .call({
      agent,
      headers: {'transfer-encoding': 'chunked', 'content-length': '3'},
      body: 'abc',
    })
    .catch(() => ({status: 400}));
  agent.destroy();
  assert.equal(answer.status, 400);
  assert.equal(first.received.length, 0);
});

void test('an address that another runner took over is not used again', async () => {
  await serve(CallKind.UNSAFE, [first, second]);
  const answerWhole = second.script;
  first.script = (_request, response) => response.writeHead(421).end();
  second.script = answerWhole;
  for (let i = 0; i < 6; i++) assert.equal((await fixture.call()).status, 200);
  assert.ok(first.received.length <= 1);
});

void test('a body that does not come in time is refused as not run', async () => {
  await serve(CallKind.UNSAFE, [first], {timeLimitMs: 300});
  const answer = await fixture.call({
    headers: {'content-length': '10'},
    holdsBody: true,
  });
  assert.equal(answer.status, 408);
  assert.equal(first.received.length, 0);
});

void test('what belongs to one connection is not passed on, and nothing that the runner needs is taken away', async () => {
  await serve(CallKind.UNSAFE, [first]);
  await fixture.call({
    headers: {
      connection: `x-hop, host, ${names.promptSize}, ${names.requestId}`,
      'x-hop': '1',
      'x-end': '2',
      [names.promptSize]: '100,20',
    },
  });
  const {headers} = first.received[0];
  assert.equal(headers['x-hop'], undefined);
  assert.equal(headers['x-end'], '2');
  assert.equal(headers.host, 'calls.example');
  assert.equal(headers[names.promptSize], '100,20');
  assert.ok(headers[names.requestId]);
});

void test('a caller that leaves in the middle of its body is told in the log', async () => {
  await serve(CallKind.UNSAFE, [first]);
  await fixture
    .call({
      headers: {'content-length': '10', [names.requestId]: 'broken-body'},
      holdsBody: true,
      leaveAfterMs: 50,
    })
    .catch(() => undefined);
  await fixture.waitFor(() => fixture.events('caller_left').length === 1);
  const [line] = fixture.events('caller_left');
  assert.equal(line.request, 'broken-body');
  assert.equal(line.reason, 'body broke off');
  assert.equal(first.received.length, 0);
});
