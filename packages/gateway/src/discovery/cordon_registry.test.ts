// Operators cordon a place so that its runners get no new calls. Hosts that did not know cordon orders sent 5,272
// requests to cordoned runners on a day with two orders, from five seconds after the first order on.
import assert from 'node:assert/strict';
import {afterEach, beforeEach, test} from 'node:test';
import {CallKind} from '@bayspool/decisions/calls';
import {Topic} from '../records/topic.js';
import {GatewayFixture} from '../testing/gateway_fixture.js';
import {MemoryRecordStore} from '../testing/memory_record_store.js';
import {plainHeaderNames as names} from '../testing/plain_header_names.js';
import {ScriptedRunner} from '../testing/scripted_runner.js';

const CALLS = 30;

let fixture: GatewayFixture;
let near: ScriptedRunner;
let far: ScriptedRunner;

beforeEach(async () => {
  fixture = new GatewayFixture();
  near = new ScriptedRunner({id: 'near', place: 'a'});
  far = new ScriptedRunner({id: 'far', place: 'b'});
  fixture.configure([{kind: CallKind.SAFE}]);
  await fixture.addRunner(near);
});

afterEach(async () => {
  await fixture.stop();
  near.stop();
  far.stop();
});

function cordon(place: string, store = fixture.store): void {
  store.put(Topic.OPERATOR, `cordon/${place}`, {asked: true});
}

function uncordon(place: string): void {
  fixture.store.put(Topic.OPERATOR, `cordon/${place}`);
}

async function waitCordoned(hosts = 1): Promise<void> {
  await fixture.waitFor(
    () => fixture.events('place_cordoned').length === hosts,
  );
}

async function callMany(host = 0): Promise<number[]> {
  const calls = Array.from({length: CALLS}, () => fixture.call({host}));
  return (await Promise.all(calls)).map(({status}) => status);
}

void test('runners of a cordoned place get no calls until the order is removed; others respond', async () => {
  await fixture.addRunner(far);
  await fixture.startHost();
  await fixture.waitReady();
  cordon('a');
  await waitCordoned();
  const before = near.received.length;
  assert.deepEqual(new Set(await callMany()), new Set([200]));
  assert.equal(near.received.length, before);
  uncordon('a');
  await fixture.waitFor(() => fixture.events('place_uncordoned').length === 1);
  await fixture.waitFor(async () => {
    await callMany();
    return near.received.length > before;
  });
});

void test('calls to a service with runners only in a cordoned place are rejected immediately as not run', async () => {
  await fixture.startHost();
  await fixture.waitReady();
  cordon('a');
  await waitCordoned();
  const response = await fixture.call();
  assert.equal(response.status, 503);
  assert.ok(Number(response.headers['retry-after']) > 0);
  assert.equal(near.received.length, 0);
  const [line] = fixture.events('request_failed');
  assert.equal(line.hasRun, 'no');
});

void test('hosts that start after the order, or learn of it only from peers, send no calls to the place', async () => {
  await fixture.addRunner(far);
  cordon('a');
  await fixture.startHost();
  await fixture.waitReady();
  const unreachableStore = new MemoryRecordStore();
  unreachableStore.isDown = true;
  const {ip, peerPort} = fixture.hosts[0].settings;
  await fixture.startHost({seeds: [`${ip}:${peerPort}`]}, unreachableStore);
  await fixture.waitReady(1);
  for (const host of [0, 1])
    assert.deepEqual(new Set(await callMany(host)), new Set([200]));
  assert.equal(near.received.length, 0);
});

void test('a stream in a cordoned place completes; one that breaks there resumes elsewhere', async () => {
  fixture.configure([{kind: CallKind.RESUMABLE}]);
  await fixture.startHost();
  await fixture.waitReady();
  let finish = () => undefined as void;
  near.script = ({id, path, socket}, response) => {
    response.writeHead(200, {
      [names.requestId]: id,
      [names.signature]: 'signed',
      'content-type': 'text/event-stream',
    });
    response.write('id: 1\ndata: piece 1\n\n');
    const finishPrevious = finish;
    finish = () => {
      finishPrevious();
      if (path.endsWith('breaks')) return void socket.destroy();
      response.end('id: 2\ndata: piece 2\n\n');
    };
  };
  far.script = ({id}, response) => {
    response.writeHead(200, {
      [names.requestId]: id,
      [names.signature]: 'signed',
      'content-type': 'text/event-stream',
    });
    response.end('id: 2\ndata: piece 2\n\n');
  };
  const responses = [
    fixture.call({path: '/x/ends'}),
    fixture.call({path: '/x/breaks'}),
  ];
  await fixture.waitFor(() => near.received.length === 2);
  await fixture.addRunner(far);
  cordon('a');
  await waitCordoned();
  await fixture.waitFor(() => fixture.events('runner_seen').length === 2);
  finish();
  for (const {body, isComplete} of await Promise.all(responses)) {
    assert.ok(isComplete);
    assert.equal(body, 'id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n');
  }
  assert.equal(near.received.length, 2);
  assert.equal(far.received.length, 1);
});

void test('the newest of several orders in quick succession applies to each place', async () => {
  await fixture.addRunner(far);
  await fixture.startHost();
  await fixture.waitReady();
  for (let i = 0; i < 5; i++) {
    cordon('a');
    uncordon('a');
    cordon('b');
  }
  cordon('a');
  uncordon('b');
  await fixture.waitFor(async () => {
    const before = near.received.length;
    const statuses = await callMany();
    return (
      near.received.length === before && statuses.every(code => code === 200)
    );
  });
});
