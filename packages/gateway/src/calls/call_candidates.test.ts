import assert from 'node:assert/strict';
import {afterEach, beforeEach, test} from 'node:test';
import {CallKind} from '@bayspool/decisions/calls';
import {GatewayFixture} from '../testing/gateway_fixture.js';
import {plainHeaderNames as names} from '../testing/plain_header_names.js';
import {ScriptedRunner} from '../testing/scripted_runner.js';

const CALLS = 20;
const regionOf = {a: 'north', b: 'north', c: 'south', d: 'west'};

let fixture: GatewayFixture;
let runners: ScriptedRunner[];

beforeEach(async () => {
  fixture = new GatewayFixture();
  runners = ['a', 'b', 'c', 'd', 'nowhere'].map(
    place => new ScriptedRunner({id: `in-${place}`, place}),
  );
  for (const runner of runners) await fixture.addRunner(runner);
});

afterEach(async () => {
  await fixture.stop();
  for (const runner of runners) runner.stop();
});

async function serve(ofRoute?: string[], ofWorkspace?: string[]) {
  fixture.configure(
    [{kind: CallKind.SAFE, isPublic: false, regions: ofRoute}],
    {'key-1': {workspace: 'ws', regions: ofWorkspace}},
  );
  await fixture.startHost({regionOf});
  await fixture.waitReady();
}

async function callMany() {
  const headers = {[names.apiKey]: 'key-1'};
  const calls = Array.from({length: CALLS}, () => fixture.call({headers}));
  return Promise.all(calls);
}

function reached(): string[] {
  return runners
    .filter(({received}) => received.length > 0)
    .map(({entry}) => entry.place);
}

function failAll(): void {
  for (const runner of runners)
    runner.script = ({id}, response) => {
      response.writeHead(500, {[names.requestId]: id});
      response.end();
    };
}

void test('without a restriction a call may go to any region', async () => {
  await serve();
  for (const {status} of await callMany()) assert.equal(status, 200);
});

void test('the regions of a route apply to every attempt', async () => {
  await serve(['north']);
  failAll();
  await callMany();
  assert.ok(reached().every(place => ['a', 'b'].includes(place)));
  assert.ok(reached().length > 0);
});

void test('the regions of a workspace apply as well, and restrict those of the route', async () => {
  await serve(['north', 'south'], ['south', 'west']);
  for (const {status} of await callMany()) assert.equal(status, 200);
  assert.deepEqual(reached(), ['c']);
});

void test('a call without an allowed region is rejected as not run, and the log entry says why', async () => {
  await serve(['north'], ['west']);
  for (const {status, headers} of await callMany()) {
    assert.equal(status, 503);
    assert.ok(headers['retry-after']);
  }
  assert.deepEqual(reached(), []);
  const [line] = fixture.events('request_failed');
  assert.equal(line.reason, 'no runner in an allowed region');
  assert.equal(line.hasRun, 'no');
});
