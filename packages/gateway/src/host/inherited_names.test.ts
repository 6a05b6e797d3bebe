// Guards against ids and names of properties that every object inherits, which stopped the exchange between hosts.
import assert from 'node:assert/strict';
import {afterEach, test} from 'node:test';
import {PartQuarantine, Quarantine} from '@bayspool/decisions/calls';
import {mergeLoadDigests} from '../peers/merge_load_digests.js';
import type {LoadDigest} from '../peers/load_digest.js';
import {subtractLoadDigest} from '../peers/subtract_load_digest.js';
import type {RolloutRegistry} from '../rollouts/rollout_registry.js';
import {DirectoryFixture} from '../testing/directory_fixture.js';
import {MultiHostFixture} from '../testing/multi_host_fixture.js';
import {PlainReader} from '../testing/plain_reader.js';
import {RunnerLoadExchange} from './runner_load_exchange.js';

const NAMES = Object.getOwnPropertyNames(Object.prototype);
const EMPTY: LoadDigest = {runners: {}, rollouts: {}};
const prompt = {
  tokens: 30,
  parts: [
    {id: 'shared', tokens: 20},
    {id: 'own', tokens: 10},
  ],
};

let multiHost: MultiHostFixture | undefined;

afterEach(() => multiHost?.stop());

function createHost() {
  const fixture = new DirectoryFixture(new PlainReader());
  const {clock, directory, prefixes} = fixture;
  const rollouts = {
    all: () => [],
    applyRemoteDigests: () => undefined,
  } as unknown as RolloutRegistry;
  const loads = new RunnerLoadExchange({
    clock,
    directory,
    prefixes,
    rollouts,
    quarantine: new Quarantine({clock}),
    partQuarantine: new PartQuarantine({clock}),
    serviceLimits: {
      createRetryDigest: () => ({}),
      applyPeerRetries: () => undefined,
    },
  });
  return {fixture, loads};
}

function putRunners({fixture}: ReturnType<typeof createHost>): void {
  for (const id of NAMES) {
    const service = id;
    const fields = {service, address: '127.0.0.1:1', place: 'a', version: 'v1'};
    const entry = {id, ...fields, slots: 2, isDraining: false};
    fixture.put(id, JSON.stringify(entry));
  }
}

function send(digest: LoadDigest): LoadDigest {
  return JSON.parse(JSON.stringify(digest)) as LoadDigest;
}

void test('the load of runners with such ids reaches other hosts, also by way of sums', () => {
  const [here, there] = [createHost(), createHost()];
  putRunners(here);
  putRunners(there);
  for (const runner of there.fixture.directory.all()) {
    runner.noteSent(400);
    runner.health.recordFailure(3);
    there.fixture.prefixes.notePrompt(runner.entry.id, 'small', prompt);
  }
  const own = send(there.loads.createDigest());
  const sum = send(mergeLoadDigests([own, own, EMPTY]));
  here.loads.applyPeerDigest(send(subtractLoadDigest(sum, own)));
  const countTokens = here.fixture.prefixes.createCachedTokenCounter(
    'small',
    prompt,
  );
  for (const {entry, totalRunning} of here.fixture.directory.all()) {
    assert.equal(totalRunning, 1, entry.id);
    assert.equal(countTokens(entry.id), 20, entry.id);
  }
});

void test('a host of which no digest tells such ids takes nothing from inherited properties', () => {
  const here = createHost();
  putRunners(here);
  here.loads.applyPeerDigest(EMPTY);
  for (const {entry, totalRunning} of here.fixture.directory.all())
    assert.equal(totalRunning, 0, entry.id);
});

void test('sums by such names of services, routes and workspaces are those of other names', () => {
  const counts = [4, 1, 1, 1] as const;
  const demand = (name: string) => ({
    byPriority: {1: 2},
    byWorkspace: {[name]: 3},
    backlogMs: 1,
    rejected: 0,
  });
  const rollout = (name: string) => ({
    offset: 1,
    elapsedMs: 5,
    isSeen: true,
    isBad: false,
    oldRunning: 1,
    fresh: Object.fromEntries([[name, counts]]),
    old: Object.fromEntries([[name, counts]]),
    freshTimes: Object.fromEntries([[name, {0: 1}]]),
    oldTimes: Object.fromEntries([[name, {0: 1}]]),
  });
  const digestOf = (name: string): LoadDigest =>
    send({
      runners: Object.fromEntries([[name, counts]]),
      rollouts: Object.fromEntries([[name, rollout(name)]]),
      retries: Object.fromEntries([[name, [3, 1] as const]]),
      speeds: Object.fromEntries([[name, [2, 1] as const]]),
      demand: Object.fromEntries([[name, demand(name)]]),
      parts: Object.fromEntries([[name, [7]]]),
    });
  const sumOf = (name: string) => {
    const digest = digestOf(name);
    const sum = mergeLoadDigests([digest, digest, EMPTY]);
    const rest = subtractLoadDigest(sum, digest);
    return JSON.stringify([sum, rest]);
  };
  const usual = sumOf('usual');
  for (const name of NAMES)
    assert.equal(sumOf(name), usual.replaceAll('usual', name));
});

void test('hosts go on to exchange their state, and serve, beside runners with such ids', async () => {
  multiHost = new MultiHostFixture();
  await multiHost.start();
  const {gateways} = multiHost;
  for (const id of ['__proto__', 'constructor', 'toString'])
    await gateways.addRunner(multiHost.createRunner({id, place: 'a'}));
  const answers = await multiHost.callFor({forMs: 2_000});
  assert.deepEqual([...new Set(answers.map(({status}) => status))], [200]);
  assert.deepEqual(gateways.events('unexpected'), []);
  assert.deepEqual(gateways.events('peer_lost'), []);
  assert.ok(multiHost.arrivalsAt('constructor').length > 0);
  assert.ok(multiHost.arrivalsAt('__proto__').length > 0);
});
