import assert from 'node:assert/strict';
import {afterEach, beforeEach, test} from 'node:test';
import {CallKind} from '@bayspool/decisions/calls';
import {Topic} from '../records/topic.js';
import {GatewayFixture} from '../testing/gateway_fixture.js';
import {plainHeaderNames as names} from '../testing/plain_header_names.js';
import {ScriptedRunner} from '../testing/scripted_runner.js';

/** Time that a write to the store takes, in ms: longer than the pause between two looks of the writer. */
const SLOW_WRITE_MS = 500;

let fixture: GatewayFixture;
let old: ScriptedRunner;
let fresh: ScriptedRunner;

beforeEach(async () => {
  fixture = new GatewayFixture();
  old = new ScriptedRunner({id: 'old', version: 'v1'});
  fresh = new ScriptedRunner({id: 'fresh', version: 'v2'});
  fixture.configure([{kind: CallKind.SAFE, attempts: 2}]);
  await fixture.addRunner(old);
  await fixture.addRunner(fresh);
});

afterEach(async () => {
  await fixture.stop();
  old.stop();
  fresh.stop();
});

function order(service: string, durationMs: number): void {
  fixture.store.put(Topic.OPERATOR, `rollout/${service}`, {
    service,
    version: 'v2',
    durationMs,
  });
}

/** Phases of a service's roll-out that were written to the store, in order. */
function phasesOf(service: string): string[] {
  return fixture.store
    .records(Topic.STATUS)
    .map(
      ({value}) =>
        JSON.parse(value ?? '{}') as {service: string; phase: string},
    )
    .filter(state => state.service === service)
    .map(({phase}) => phase);
}

void test('a version found bad while its start is being written is announced before it is taken back', async () => {
  fixture.store.appendMs = SLOW_WRITE_MS;
  fresh.script = ({id}, response) =>
    response.writeHead(500, {[names.requestId]: id}).end();
  order('svc', 20_000);
  await fixture.startHost({sessionKeptMs: 10});
  await fixture.waitReady();
  for (let i = 0; i < 300 && fixture.events('rollout_judged').length < 1; i++)
    await fixture.call();
  await fixture.waitFor(() => phasesOf('svc').includes('reverted'));
  assert.deepEqual(phasesOf('svc'), ['active', 'reverted']);
});

void test('roll-outs of two services ordered at once are both announced', async () => {
  fixture.store.appendMs = SLOW_WRITE_MS;
  await fixture.startHost({sessionKeptMs: 10});
  await fixture.waitReady();
  order('svc', 60_000);
  order('llm', 60_000);
  await fixture.waitFor(
    () => phasesOf('svc').length > 0 && phasesOf('llm').length > 0,
  );
  assert.deepEqual(phasesOf('svc'), ['active']);
  assert.deepEqual(phasesOf('llm'), ['active']);
});
