import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import {FaultMode} from '@bayspool/standins';
import {coreLogSeed} from '../fleet/core_log_seed.js';
import {Fleet} from '../fleet/fleet.js';
import type {CallResult} from '../load/call_result.js';
import {Caller} from '../load/caller.js';

const KEYS = 24;
/** One place of the configuration never had a host. */
const fleet = new Fleet({
  places: {
    'hall-a': {hosts: 1, engines: 0},
    'hall-c': {hosts: 1, engines: 0},
  },
  seed: coreLogSeed({
    places: ['hall-a', 'hall-b', 'hall-c'],
    workspaces: ['survey', 'mining'],
    home: 'hall-a',
  }),
  versions: [],
});
const caller = new Caller({workspace: 'survey'});

before(() => fleet.start());
after(() => fleet.stop());

function use(key: string, host: number): Promise<CallResult> {
  const headers = {'idempotency-key': key};
  const {callerAddress} = fleet.hosts[host];
  return caller.service(callerAddress, 'POST', '/slips', headers);
}

void test('a host without the log does not say of keys that ran elsewhere that they did not run', async () => {
  const keys = Array.from({length: KEYS}, (_, i) => `once-${i}`);
  const first: CallResult[] = [];
  for (const key of keys) first.push(await use(key, 1));
  const ran = keys.filter((_, i) => first[i].status === 201);
  assert.ok(ran.length > KEYS / 2, `${ran.length} of ${KEYS} ran`);
  const [alone] = fleet.hosts;
  alone.logProxy.set(FaultMode.CUT);
  const results = await Promise.all(ran.map(key => use(key, 0)));
  const outcomes = results.map(({headers}) => headers['bayspool-outcome']);
  assert.ok(!outcomes.includes('not-run'), outcomes.join());
});
