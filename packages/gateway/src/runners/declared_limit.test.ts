import assert from 'node:assert/strict';
import type {IncomingMessage} from 'node:http';
import {afterEach, beforeEach, test} from 'node:test';
import {VirtualClock} from '@bayspool/kernel';
import {readLimitHeader} from '../calls/read_limit_header.js';
import {GatewayFixture} from '../testing/gateway_fixture.js';
import {plainHeaderNames as names} from '../testing/plain_header_names.js';
import {ScriptedRunner} from '../testing/scripted_runner.js';
import {DeclaredLimit} from './declared_limit.js';

let fixture: GatewayFixture;
let runner: ScriptedRunner;
/** Value of the limit header that the runner sends. */
let limitHeader: string | string[] | undefined;

beforeEach(() => {
  fixture = new GatewayFixture();
  runner = new ScriptedRunner({id: 'one', script: respond});
});

afterEach(() => fixture.stop());

const respond: ScriptedRunner['script'] = ({id}, response) => {
  const head = {[names.requestId]: id, [names.signature]: 'signed'};
  response.writeHead(200, {
    ...head,
    ...(limitHeader && {[names.limit]: limitHeader}),
  });
  response.end('body');
};

function read(value: string | undefined) {
  const headers = {[names.limit]: value};
  return readLimitHeader({headers} as unknown as IncomingMessage, names.limit);
}

void test('a limit is a decimal number; anything else is malformed', () => {
  assert.deepEqual(read('2'), {perSecond: 2});
  assert.deepEqual(read(' 0.25 '), {perSecond: 0.25});
  assert.deepEqual(read('0'), {perSecond: 0});
  assert.deepEqual(read(undefined), {});
  for (const text of ['soon', '-1', 'Infinity', '1e999', '2, 2', '', 'NaN'])
    assert.deepEqual(read(text), {malformed: text});
  assert.equal(read('9'.repeat(5_000)).malformed?.length, 40);
});

void test('a response without a limit is ignored if its request was sent before the limit was declared', () => {
  const limit = new DeclaredLimit({clock: new VirtualClock()});
  limit.updateFromResponse({perSecond: 2}, 100, 200);
  limit.updateFromResponse({}, 150, 250);
  assert.equal(limit.perSecond, 2);
  limit.updateFromResponse({}, 201, 300);
  assert.equal(limit.perSecond, undefined);
});

void test('an observation of another host is ignored if a later response declared no limit', () => {
  const limit = new DeclaredLimit({clock: new VirtualClock()});
  limit.updateFromResponse({}, 500, 600);
  limit.updateFromPeer(2, 450);
  assert.equal(limit.perSecond, undefined);
  limit.updateFromPeer(2, 550);
  assert.equal(limit.perSecond, 2);
});

void test('a limit declared by another runner at the same address is ignored', async () => {
  fixture.configure([{}]);
  await fixture.addRunner(runner);
  runner.script = ({id}, response) => {
    response.writeHead(421, {[names.requestId]: id, [names.limit]: '2'}).end();
  };
  await fixture.startHost();
  await fixture.waitReady();
  await fixture.call();
  assert.equal(fixture.events('runner_limit_changed').length, 0);
});

void test('a declared limit is logged once per change, and with each attempt', async () => {
  fixture.configure([{}]);
  await fixture.addRunner(runner);
  const {gateway} = await fixture.startHost();
  await fixture.waitReady();
  for (limitHeader of ['9000.5', '9000.5', 'many', 'many', undefined])
    await fixture.call();
  const changes = fixture.events('runner_limit_changed');
  assert.deepEqual(
    changes.map(({runner: id, perSecond, previous}) => [
      id,
      perSecond,
      previous,
    ]),
    [
      ['one', 9000.5, undefined],
      ['one', undefined, 9000.5],
    ],
  );
  const malformed = fixture.events('runner_limit_malformed');
  assert.deepEqual(
    malformed.map(({text}) => text),
    ['many'],
  );
  const ended = fixture.events('attempt_ended');
  assert.deepEqual(
    ended.map(({namedLimit}) => namedLimit),
    [9000.5, 9000.5, undefined, undefined, undefined],
  );
  limitHeader = '0.5';
  await fixture.call();
  assert.match(
    await gateway.metrics.registry.metrics(),
    /runner_limit\{service="svc",runner="one"\} 0\.5/,
  );
});

void test('a duplicate header declares no limit, and the response still reaches the caller', async () => {
  fixture.configure([{}]);
  await fixture.addRunner(runner);
  await fixture.startHost();
  await fixture.waitReady();
  limitHeader = ['2', '3'];
  const {status, isComplete} = await fixture.call();
  assert.deepEqual([status, isComplete], [200, true]);
  assert.equal(fixture.events('runner_limit_changed').length, 0);
  assert.equal(fixture.events('runner_limit_malformed').length, 1);
});
