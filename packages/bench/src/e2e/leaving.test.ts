import assert from 'node:assert/strict';
import {setTimeout as wait} from 'node:timers/promises';
import {after, before, test} from 'node:test';
import got from 'got';
import {coreLogSeed} from '../fleet/core_log_seed.js';
import {Fleet} from '../fleet/fleet.js';
import {isReady} from '../fleet/is_ready.js';
import {OperatorSession} from '../fleet/operator_session.js';
import {waitUntil} from '../fleet/wait_until.js';
import {Balancer} from '../load/balancer.js';
import type {CallResult} from '../load/call_result.js';
import {Caller} from '../load/caller.js';

const PLACES = {
  'hall-a': {hosts: 2, engines: 2},
  'hall-b': {hosts: 1, engines: 2},
};
const LONG = 800;
const fleet = new Fleet({
  places: PLACES,
  seed: coreLogSeed({
    places: Object.keys(PLACES),
    workspaces: ['survey'],
    home: 'hall-a',
    crossing: false,
  }),
  versions: ['geo-large@1'],
  engineArgs: ['--step-ms=5'],
});
const caller = new Caller({workspace: 'survey'});

before(() => fleet.start());
after(() => fleet.stop());

function longStreams(address: string, count: number): Promise<CallResult>[] {
  return Array.from({length: count}, () =>
    caller.chat(address, {stream: true, tokens: LONG}),
  );
}

async function assertWhole(
  streams: readonly Promise<CallResult>[],
): Promise<void> {
  for (const result of await Promise.all(streams)) {
    assert.equal(result.status, 200, result.text.slice(0, 300));
    assert.ok(result.whole);
    assert.equal(result.tokens.length, LONG);
  }
}

void test('each host in turn leaves with long streams open and cuts none', async () => {
  for (const host of fleet.hosts) {
    const streams = longStreams(host.callerAddress, 5);
    await wait(300);
    host.process!.signal('SIGTERM');
    await waitUntil(async () => !(await isReady(host)), {
      what: `${host.id} not ready`,
    });
    await assertWhole(streams);
    assert.equal(await host.process!.exited, 0);
    await fleet.startHost(host);
  }
});

void test('a host that gets a series of signals that end a process by default cuts no stream', async () => {
  const [host] = fleet.hosts;
  const streams = longStreams(host.callerAddress, 5);
  await wait(300);
  for (const signal of ['SIGHUP', 'SIGTERM', 'SIGINT', 'SIGQUIT'] as const) {
    host.process!.signal(signal);
    await wait(100);
  }
  await assertWhole(streams);
  assert.equal(await host.process!.exited, 0);
  await fleet.startHost(host);
});

void test('a host that the platform lists as leaving, and one that an operator drains, take no new work after the notice', async () => {
  const [listed, drained] = fleet.hosts;
  await got.put(`http://${fleet.platform.roster}/entries`, {
    json: [{id: listed.id, leaving: true}],
  });
  const refusal = async (address: string) => {
    const result = await caller.chat(address);
    return (
      result.status === 503 && result.headers['bayspool-outcome'] === 'not-run'
    );
  };
  await waitUntil(() => refusal(listed.callerAddress), {
    what: 'the refusal at the listed host',
  });
  await got.put(`http://${fleet.platform.roster}/entries`, {json: []});
  await waitUntil(() => isReady(listed), {what: 'the listed host back'});
  const operator = new OperatorSession(fleet.hosts[2]);
  await operator.carryOut({kind: 'drain-host', host: drained.id});
  await waitUntil(() => refusal(drained.callerAddress), {
    what: 'the refusal at the drained host',
  });
  await operator.carryOut({kind: 'undrain', host: drained.id});
  await waitUntil(() => isReady(drained), {what: 'the drained host back'});
});

void test('a runner in drain gets no new work and keeps what it has', async () => {
  const engine = fleet.engines.find(item => item.place === 'hall-a')!;
  const streams = longStreams(fleet.hosts[0].callerAddress, 4);
  await wait(300);
  const operator = new OperatorSession(fleet.hosts[0]);
  const {offset} = await operator.carryOut({
    kind: 'drain-runner',
    runner: engine.id,
  });
  await waitUntil(
    async () =>
      (
        await Promise.all(
          fleet.hosts.map(host => new OperatorSession(host).config()),
        )
      ).every(config => config.offset >= offset),
    {what: 'the drain in force'},
  );
  const before = (await runsOf(engine.address)).length;
  for (let count = 0; count < 10; count++)
    assert.equal((await caller.chat(fleet.hosts[0].callerAddress)).status, 200);
  assert.equal((await runsOf(engine.address)).length, before);
  await assertWhole(streams);
  await operator.carryOut({kind: 'undrain', runner: engine.id});
});

async function runsOf(address: string): Promise<unknown[]> {
  return (await got(`http://${address}/runs`).json<{runs: unknown[]}>()).runs;
}

void test('a place is handed over under load: nothing is cut, new work runs in the other place, and the end is seen', async () => {
  const balancer = new Balancer(fleet.hosts);
  await balancer.start();
  const streams = longStreams(fleet.hosts[0].callerAddress, 4);
  const results: CallResult[] = [];
  let loading = true;
  const load = async () => {
    while (loading)
      results.push(await caller.chat(balancer.next(), {stream: true}));
  };
  const workers = [load(), load(), load()];
  await wait(300);
  const operator = new OperatorSession(fleet.hosts[2]);
  const confirmed = await operator.carryOut({
    kind: 'hand-over-place',
    place: 'hall-a',
    to: 'hall-b',
  });
  assert.equal(confirmed.verdict, 'accepted');
  await assertWhole(streams);
  await waitUntil(async () => (await operator.intent(confirmed.id)).done, {
    what: 'the end of the hand-over',
  });
  const engines = fleet.engines.filter(engine => engine.place === 'hall-a');
  const before = await Promise.all(
    engines.map(async engine => (await runsOf(engine.address)).length),
  );
  const count = results.length;
  await waitUntil(() => results.length > count + 20, {what: 'more answers'});
  const after = await Promise.all(
    engines.map(async engine => (await runsOf(engine.address)).length),
  );
  loading = false;
  await Promise.all(workers);
  await balancer.stop();
  assert.deepEqual(
    after,
    before,
    'no new work in the place that was handed over',
  );
  assert.ok(results.every(result => result.status === 200 && result.whole));
});
