import assert from 'node:assert/strict';
import {connect} from 'node:net';
import {Agent} from 'node:http';
import {afterEach, beforeEach, test} from 'node:test';
import {CallKind} from '@bayspool/decisions/calls';
import {exchangeRaw} from '../testing/exchange_raw.js';
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

/** Starts one host with a route of this kind and the given runners. */
function serve(kind: CallKind, runners: ScriptedRunner[], extra = {}) {
  return fixture.serve({kind, ...extra}, runners);
}

void test('requests and responses are forwarded unchanged', async () => {
  await serve(CallKind.UNSAFE, [first]);
  const result = await fixture.call({path: '/x/1?q=%20a', body: 'some bytes'});
  const [seen] = first.received;
  assert.equal(result.status, 200);
  assert.equal(result.body, 'whole body');
  assert.equal(result.headers[names.signature], 'signed');
  assert.equal(seen.path, '/x/1?q=%20a');
  assert.equal(seen.body, 'some bytes');
  assert.equal(seen.headers[names.expectedRunner], 'one');
  const leftMs = Number(seen.headers[names.deadline]);
  assert.ok(leftMs <= 2_000 && leftMs > 1_000, `${leftMs} ms left`);
});

void test('reserved headers from a caller are dropped', async () => {
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

void test('a connection to a runner is reused for consecutive calls', async () => {
  await serve(CallKind.SAFE, [first]);
  for (let i = 0; i < 4; i++) await fixture.call();
  assert.equal(first.received.length, 4);
  assert.equal(first.connections, 1);
});

void test('a call that may run only once is not retried when its runner resets the connection', async () => {
  await serve(CallKind.UNSAFE, [first, second]);
  first.script = second.script = ({socket}) => socket.resetAndDestroy();
  const result = await fixture.call();
  assert.equal(result.status, 502);
  assert.equal(first.received.length + second.received.length, 1);
  assert.equal(result.headers['retry-after'], undefined);
});

void test('a call that a runner did not run is sent to another one', async () => {
  await serve(CallKind.UNSAFE, [first, second]);
  let refused = 0;
  const respond = first.script;
  first.script = second.script = (request, response) => {
    if (refused++ > 0) return respond(request, response);
    response.writeHead(503, {[names.notRun]: '1'}).end();
  };
  const result = await fixture.call();
  assert.equal(result.status, 200);
  assert.equal(first.received.length, 1);
  assert.equal(second.received.length, 1);
});

void test('a call that all runners rejected is reported as not run, with retry-after', async () => {
  await serve(CallKind.UNSAFE, [first]);
  first.script = (_request, response) =>
    response.writeHead(503, {[names.notRun]: '1'}).end();
  const result = await fixture.call();
  assert.equal(result.status, 503);
  assert.ok(Number(result.headers['retry-after']) > 0);
});

void test('a safe call that fails at one runner is answered by another', async () => {
  await serve(CallKind.SAFE, [first, second]);
  let failed = 0;
  const respond = first.script;
  first.script = second.script = (request, response) => {
    if (failed++ > 0) return respond(request, response);
    response.writeHead(500, {[names.requestId]: request.id}).end('failed');
  };
  const result = await fixture.call();
  assert.equal(result.status, 200);
});

void test('the last failure response of a runner is passed on unchanged', async () => {
  await serve(CallKind.SAFE, [first], {attempts: 2});
  first.script = (request, response) =>
    response
      .writeHead(500, {[names.requestId]: request.id, [names.signature]: 's'})
      .end('failed');
  const result = await fixture.call();
  assert.equal(result.status, 500);
  assert.equal(result.headers[names.signature], 's');
  assert.equal(result.body, 'failed');
});

void test('a call is sent to no more runners than the route allows', async () => {
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

void test('a response to another request is not passed on', async () => {
  await serve(CallKind.UNSAFE, [first]);
  const respond = first.script;
  first.script = (request, response) =>
    respond({...request, id: 'another'}, response);
  const result = await fixture.call();
  assert.equal(result.status, 502);
  assert.notEqual(result.body, 'whole body');
});

void test('bytes after a complete response do not reach the next call', async () => {
  await serve(CallKind.SAFE, [first]);
  const respond = first.script;
  first.script = (request, response) => {
    respond(request, response);
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

void test('a truncated response is not passed on as complete', async () => {
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
  const result = await fixture.call();
  assert.equal(result.status, 502);
});

void test('a close-delimited response is passed on with a length, so that the end of this host does not complete it', async () => {
  await serve(CallKind.UNSAFE, [first]);
  first.script = ({id, socket}) => {
    socket.write(
      `HTTP/1.1 200 OK\r\n${names.requestId}: ${id}\r\n${names.signature}: s\r\nconnection: close\r\n\r\nup to here`,
    );
    setTimeout(() => socket.end(), 20);
  };
  const result = await fixture.call();
  assert.equal(result.status, 200);
  assert.equal(result.body, 'up to here');
  assert.equal(result.headers['content-length'], String(result.body.length));
  assert.ok(result.isComplete);
});

void test('a close-delimited response whose connection is reset is not passed on', async () => {
  await serve(CallKind.UNSAFE, [first]);
  first.script = ({id, socket}) => {
    socket.write(
      `HTTP/1.1 200 OK\r\n${names.requestId}: ${id}\r\n${names.signature}: s\r\n\r\nup to`,
    );
    setTimeout(() => socket.resetAndDestroy(), 20);
  };
  const result = await fixture.call();
  assert.equal(result.status, 502);
});

/** Sends a stream without a length whose connection ends inside its second event. */
const endInsideEvent: ScriptedRunner['script'] = ({id, socket}) => {
  socket.write(
    `HTTP/1.1 200 OK\r\n${names.requestId}: ${id}\r\n${names.signature}: s\r\nconnection: close\r\n\r\nid: 1\ndata: a\n\nid: 2\nda`,
  );
  setTimeout(() => socket.end(), 20);
};

void test('a close-delimited stream that breaks inside an event does not look complete to its caller', async () => {
  await serve(CallKind.STREAM, [first]);
  first.script = endInsideEvent;
  const {text, isComplete} = await exchangeRaw(fixture.describeCall());
  assert.match(text, /data: a\n\n/);
  assert.ok(!isComplete);
});

void test('a close-delimited stream that breaks inside an event is reset to a caller that takes no chunks', async () => {
  await serve(CallKind.STREAM, [first]);
  first.script = endInsideEvent;
  // Node's client takes a reset for the end of a close-delimited response.
  const {port, request} = fixture.describeCall();
  const oldRequest = request.replace('HTTP/1.1', 'HTTP/1.0');
  const socket = connect(port, '127.0.0.1', () => socket.write(oldRequest));
  const received: string[] = [];
  socket.on('data', data => received.push(String(data)));
  const errors: NodeJS.ErrnoException[] = [];
  socket.on('error', error => errors.push(error));
  await new Promise(resolve => socket.once('close', resolve));
  assert.deepEqual(
    errors.map(({code}) => code),
    ['ECONNRESET'],
  );
  assert.match(received.join(''), /data: a\n\n$/);
});

void test('an unsigned success is not passed on', async () => {
  await serve(CallKind.UNSAFE, [first]);
  first.script = ({id}, response) =>
    response.writeHead(200, {[names.requestId]: id}).end('unsigned');
  assert.equal((await fixture.call()).status, 502);
});

void test('a call is answered when its time limit is reached', async () => {
  await serve(CallKind.UNSAFE, [first], {timeLimitMs: 300});
  first.script = () => undefined;
  const result = await fixture.call();
  assert.equal(result.status, 504);
  assert.ok(
    result.durationMs > 250 && result.durationMs < 600,
    `${result.durationMs} ms`,
  );
});

void test('the request to the runner is aborted when the caller disconnects', async () => {
  await serve(CallKind.SAFE, [first], {latencyTargetMs: 5_000});
  first.script = () => undefined;
  await fixture.call({disconnectAfterMs: 100}).catch(() => undefined);
  const leftAt = performance.now();
  await fixture.waitFor(() => first.abortedIds.length === 1);
  assert.ok(performance.now() - leftAt < 400);
});

void test('a safe call moves from a silent runner to another one', async () => {
  await serve(CallKind.SAFE, [first, second], {latencyTargetMs: 300});
  let requestCount = 0;
  const respond = first.script;
  first.script = second.script = (request, response) => {
    if (requestCount++ > 0) respond(request, response);
  };
  const result = await fixture.call();
  assert.equal(result.status, 200);
  assert.ok(result.durationMs < 600, `${result.durationMs} ms`);
});

void test('a request with conflicting lengths is rejected and reaches no runner', async () => {
  await serve(CallKind.UNSAFE, [first]);
  const agent = new Agent({keepAlive: true});
  const result = await fixture
    .call({
      agent,
      headers: {'transfer-encoding': 'chunked', 'content-length': '3'},
      body: 'abc',
    })
    .catch(() => ({status: 400}));
  agent.destroy();
  assert.equal(result.status, 400);
  assert.equal(first.received.length, 0);
});

void test('an address that another runner took over is not used again', async () => {
  await serve(CallKind.UNSAFE, [first, second]);
  const respond = second.script;
  first.script = (_request, response) => response.writeHead(421).end();
  second.script = respond;
  for (let i = 0; i < 6; i++) assert.equal((await fixture.call()).status, 200);
  assert.ok(first.received.length <= 1);
});

void test('a body that does not arrive in time is rejected as not run', async () => {
  await serve(CallKind.UNSAFE, [first], {timeLimitMs: 300});
  const result = await fixture.call({
    headers: {'content-length': '10'},
    sendsHeadersOnly: true,
  });
  assert.equal(result.status, 408);
  assert.equal(first.received.length, 0);
});

void test('hop-by-hop headers are not forwarded, and headers that the runner needs always are', async () => {
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

void test('a caller that disconnects while sending its body is logged', async () => {
  await serve(CallKind.UNSAFE, [first]);
  await fixture
    .call({
      headers: {'content-length': '10', [names.requestId]: 'broken-body'},
      sendsHeadersOnly: true,
      disconnectAfterMs: 50,
    })
    .catch(() => undefined);
  await fixture.waitFor(() => fixture.events('caller_left').length === 1);
  const [line] = fixture.events('caller_left');
  assert.equal(line.request, 'broken-body');
  assert.equal(line.reason, 'body broke off');
  assert.equal(first.received.length, 0);
});
