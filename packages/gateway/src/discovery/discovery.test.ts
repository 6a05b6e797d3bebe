import assert from 'node:assert/strict';
import {afterEach, beforeEach, test} from 'node:test';
import {CallKind} from '@bayspool/decisions/calls';
import {Topic} from '../records/topic.js';
import {GatewayFixture} from '../testing/gateway_fixture.js';
import {MemoryRecordStore} from '../testing/memory_record_store.js';
import {plainHeaderNames as names} from '../testing/plain_header_names.js';
import {ScriptedRunner} from '../testing/scripted_runner.js';

let fixture: GatewayFixture;
let runner: ScriptedRunner;

beforeEach(() => {
  fixture = new GatewayFixture();
  runner = new ScriptedRunner({id: 'one'});
});

afterEach(async () => {
  await fixture.stop();
  runner.stop();
});

const keyed = {kind: CallKind.SAFE, isPublic: false};
const withKey = {headers: {[names.apiKey]: 'key-1'}};

void test('without a configuration a call is rejected with 503 and retry-after', async () => {
  await fixture.startHost();
  const response = await fixture.call();
  assert.equal(response.status, 503);
  assert.ok(response.headers['retry-after']);
  assert.equal(await fixture.fetchReadiness(), 503);
});

void test('calls with unknown routes or keys are rejected, others are forwarded', async () => {
  fixture.configure([keyed], {'key-1': {workspace: 'ws'}});
  await fixture.addRunner(runner);
  await fixture.startHost();
  await fixture.waitReady();
  assert.equal((await fixture.call({path: '/y/1'})).status, 404);
  assert.equal((await fixture.call()).status, 401);
  assert.equal((await fixture.call(withKey)).status, 200);
  assert.equal(runner.received[0].headers[names.workspace], 'ws');
});

void test('a new configuration takes effect without a restart, an older one never does', async () => {
  fixture.configure([keyed], {'key-1': {workspace: 'ws'}});
  await fixture.addRunner(runner);
  await fixture.startHost();
  await fixture.waitReady();
  fixture.configure([keyed], {});
  await fixture.waitFor(
    async () => (await fixture.call(withKey)).status === 401,
  );
  fixture.store.put(Topic.OPERATOR, 'configuration', {
    ...JSON.parse(fixture.store.records(Topic.OPERATOR)[0].value ?? ''),
  });
  await new Promise(resolve => setTimeout(resolve, 300));
  assert.equal((await fixture.call(withKey)).status, 401);
});

void test('a host that may have missed withdrawn keys forwards no call with a key', async () => {
  fixture.configure([keyed], {'key-1': {workspace: 'ws'}});
  await fixture.addRunner(runner);
  await fixture.startHost({keyBoundMs: 1_800});
  await fixture.waitReady();
  fixture.store.isDown = true;
  await fixture.waitFor(
    async () => (await fixture.call(withKey)).status === 503,
  );
  const before = runner.received.length;
  const refused = await fixture.call(withKey);
  assert.ok(refused.headers['retry-after']);
  assert.equal(runner.received.length, before);
  assert.equal(await fixture.fetchReadiness(), 503);
  fixture.store.isDown = false;
  await fixture.waitFor(
    async () => (await fixture.call(withKey)).status === 200,
  );
});

void test('if stale keys are honoured, callers are served during an outage of the store', async () => {
  fixture.configure([keyed], {'key-1': {workspace: 'ws'}});
  await fixture.addRunner(runner);
  await fixture.startHost({keyBoundMs: 1_800, honoursStaleKeys: true});
  await fixture.waitReady();
  await fixture.waitFor(() => fixture.events('freshness_regained').length > 0);
  fixture.store.isDown = true;
  await fixture.waitFor(() => fixture.events('freshness_lost').length > 0);
  assert.equal((await fixture.call(withKey)).status, 200);
  assert.equal(await fixture.fetchReadiness(), 200);
  // Once the configuration is too old to rule out that an unknown key is new, which is a little later, the response is 503.
  const unknown = {headers: {[names.apiKey]: 'key-2'}};
  await fixture.waitFor(
    async () => (await fixture.call(unknown)).status === 503,
  );
  assert.equal((await fixture.call(withKey)).status, 200);
});

void test('a draining runner gets no new calls', async () => {
  const other = new ScriptedRunner({id: 'two'});
  fixture.configure([{kind: CallKind.SAFE}]);
  await fixture.addRunner(runner);
  await fixture.addRunner(other);
  await fixture.startHost();
  await fixture.waitReady();
  fixture.store.put(Topic.RUNNERS, 'one', {...runner.entry, isDraining: true});
  await fixture.waitFor(() => fixture.events('runner_leaving').length === 1);
  const before = runner.received.length;
  for (let i = 0; i < 5; i++) await fixture.call();
  assert.equal(runner.received.length, before);
  other.stop();
});

void test('a runner whose entry is removed while the store is available gets no new calls', async () => {
  fixture.configure([{kind: CallKind.SAFE}]);
  await fixture.addRunner(runner);
  await fixture.startHost();
  await fixture.waitReady();
  fixture.store.put(Topic.RUNNERS, 'one');
  await fixture.waitFor(() => fixture.events('runner_gone').length === 1);
  assert.equal((await fixture.call()).status, 503);
  assert.equal(runner.received.length, 0);
});

void test('a runner whose entry lapsed during an outage of the store is kept until entries are back', async () => {
  fixture.configure([{kind: CallKind.SAFE}]);
  await fixture.addRunner(runner);
  await fixture.startHost();
  await fixture.waitReady();
  fixture.store.isDown = true;
  await new Promise(resolve => setTimeout(resolve, 3_000));
  fixture.store.put(Topic.RUNNERS, 'one');
  fixture.store.isDown = false;
  await fixture.waitFor(() => fixture.events('runner_lapsed').length === 1);
  assert.equal((await fixture.call()).status, 200);
  await fixture.waitFor(() => fixture.events('runner_gone').length === 1);
});

void test('only one host of a place reads the store, and the others receive its updates', async () => {
  fixture.configure([{kind: CallKind.SAFE}]);
  await fixture.addRunner(runner);
  const stores = [new MemoryRecordStore(), new MemoryRecordStore()];
  for (const store of stores) {
    store.put = fixture.store.put.bind(fixture.store);
    store.readNewest = async topic => {
      store.calls.newest += 1;
      return fixture.store.readNewest(topic);
    };
    store.readFrom = async options => {
      store.calls.read += 1;
      return fixture.store.readFrom(options);
    };
    store.append = options => fixture.store.append(options);
    await fixture.startHost({}, store);
  }
  await fixture.waitReady(0);
  await fixture.waitReady(1);
  await fixture.waitFor(() => fixture.events('peer_seen').length === 2);
  await new Promise(resolve => setTimeout(resolve, 1_500));
  const before = stores.map(({calls}) => calls.read);
  await new Promise(resolve => setTimeout(resolve, 3_000));
  const reads = stores.map(({calls}, i) => calls.read - before[i]);
  assert.ok(Math.min(...reads) === 0, `reads by host: ${reads.join(', ')}`);
  assert.ok(Math.max(...reads) > 0);
  fixture.configure([{kind: CallKind.SAFE, pathPrefix: '/new/'}]);
  for (const host of [0, 1])
    await fixture.waitFor(
      async () => (await fixture.call({host, path: '/new/1'})).status === 200,
    );
});

void test('a host that cannot reach the store is kept up to date by its peer', async () => {
  fixture.configure([keyed], {'key-1': {workspace: 'ws'}});
  await fixture.addRunner(runner);
  const unreachableStore = new MemoryRecordStore();
  unreachableStore.readNewest = topic => fixture.store.readNewest(topic);
  unreachableStore.readFrom = options =>
    unreachableStore.isDown
      ? MemoryRecordStore.prototype.readFrom.call(unreachableStore, options)
      : fixture.store.readFrom(options);
  unreachableStore.append = options => fixture.store.append(options);
  await fixture.startHost({keyBoundMs: 4_000});
  await fixture.startHost({keyBoundMs: 4_000}, unreachableStore);
  await fixture.waitReady(0);
  await fixture.waitReady(1);
  await fixture.waitFor(() => fixture.events('peer_seen').length === 2);
  unreachableStore.isDown = true;
  await new Promise(resolve => setTimeout(resolve, 5_000));
  assert.equal((await fixture.call({host: 1, ...withKey})).status, 200);
  fixture.configure([keyed], {});
  await fixture.waitFor(
    async () => (await fixture.call({host: 1, ...withKey})).status === 401,
  );
});
