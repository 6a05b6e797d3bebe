import assert from 'node:assert/strict';
import {readdirSync, readFileSync} from 'node:fs';
import {join, resolve} from 'node:path';
import {afterEach, beforeEach, test} from 'node:test';
import {fileURLToPath} from 'node:url';
import {CallKind} from '@bayspool/decisions/calls';
import {Topic} from '../records/topic.js';
import {GatewayFixture} from '../testing/gateway_fixture.js';
import {plainHeaderNames as names} from '../testing/plain_header_names.js';
import {ScriptedRunner} from '../testing/scripted_runner.js';
import type {EventName} from './event_name.js';

const SOURCES = resolve(fileURLToPath(import.meta.url), '../../../src');

let fixture: GatewayFixture;
let first: ScriptedRunner;
let second: ScriptedRunner;

beforeEach(() => {
  fixture = new GatewayFixture();
  first = new ScriptedRunner({id: 'one'});
  second = new ScriptedRunner({id: 'two', version: 'v2'});
});

afterEach(async () => {
  await fixture.stop();
  first.stop();
  second.stop();
});

/** Waits until each event was written; fails with the list of missing ones. */
async function expectEvents(...events: EventName[]): Promise<void> {
  const missing = () =>
    events.filter(event => fixture.events(event).length === 0);
  await fixture.waitFor(() => missing().length === 0).catch(() => undefined);
  assert.deepEqual(missing(), []);
}

function sourceTexts(folder: string): string[] {
  return readdirSync(folder, {withFileTypes: true}).flatMap(entry => {
    const path = join(folder, entry.name);
    if (entry.isDirectory()) return sourceTexts(path);
    const isCode = path.endsWith('.ts') && !path.endsWith('.test.ts');
    return isCode ? [readFileSync(path, 'utf8')] : [];
  });
}

void test('every event of the schema is written somewhere in the code', () => {
  const schema = readFileSync(
    join(SOURCES, 'observability/event_fields.ts'),
    'utf8',
  );
  const events = [...schema.matchAll(/^ {2}(\w+): \{/gm)].map(
    ([, name]) => name,
  );
  const platform = resolve(SOURCES, '../../../platform/src');
  const code = [...sourceTexts(SOURCES), ...sourceTexts(platform)].join('\n');
  const unwritten = events.filter(
    event => !new RegExp(`(write|writeLine)\\(\\s*'${event}'`).test(code),
  );
  assert.ok(events.length > 30);
  assert.deepEqual(unwritten, []);
});

void test('events of calls that succeed, are retried, fail, and are abandoned by the caller', async () => {
  fixture.configure([
    {kind: CallKind.SAFE, attempts: 2, latencyTargetMs: 5_000},
  ]);
  await fixture.addRunner(first);
  await fixture.startHost();
  await fixture.waitReady();
  await fixture.call();
  await expectEvents(
    'process_started',
    'readiness_changed',
    'configuration_in_force',
    'runner_seen',
    'freshness_regained',
    'source_changed',
    'request_accepted',
    'runner_chosen',
    'attempt_ended',
    'request_answered',
  );
  const respondCompletely = first.script;
  first.script = (request, response) =>
    response.writeHead(500, {[names.requestId]: request.id}).end();
  for (let i = 0; i < 4; i++) await fixture.call();
  await expectEvents('retry_decided', 'request_failed', 'runner_ejected');
  first.script = () => undefined;
  await fixture.call({disconnectAfterMs: 50}).catch(() => undefined);
  await expectEvents('caller_left');
  first.script = respondCompletely;
  await fixture.call({path: '/nowhere'});
  await expectEvents('request_refused');
});

void test('events of changes in configuration, runners, store and peers', async () => {
  const route = {kind: CallKind.SAFE, isPublic: false};
  fixture.configure([route], {'key-1': {workspace: 'ws'}});
  await fixture.addRunner(first);
  await fixture.startHost({keyBoundMs: 1_600});
  await fixture.startHost({keyBoundMs: 1_600, place: 'b'});
  await fixture.waitReady(1);
  await expectEvents('peer_seen');
  fixture.configure([route], {});
  fixture.store.put(Topic.RUNNERS, 'one', {...first.entry, isDraining: true});
  await expectEvents('key_withdrawn', 'runner_leaving');
  fixture.store.put(Topic.RUNNERS, 'one');
  await expectEvents('runner_gone');
  fixture.hosts[1].gateway.stopImmediately();
  fixture.store.isDown = true;
  await expectEvents('store_lost', 'freshness_lost', 'peer_lost');
  fixture.store.isDown = false;
  await expectEvents('store_regained');
});

void test('events of a rollout, a settings reload and a shutdown', async () => {
  fixture.configure([{kind: CallKind.SAFE}]);
  await fixture.addRunner(first);
  await fixture.addRunner(second);
  await fixture.startHost({sessionKeptMs: 10, graceMs: 1_000});
  await fixture.startHost({sessionKeptMs: 10, place: 'b'});
  await fixture.waitReady();
  fixture.store.put(Topic.OPERATOR, 'rollout/svc', {
    service: 'svc',
    version: 'v2',
    durationMs: 60_000,
  });
  await expectEvents('rollout_ordered', 'rollout_written');
  second.script = ({id}, response) =>
    response.writeHead(500, {[names.requestId]: id}).end();
  for (let i = 0; i < 300; i++) await fixture.call();
  await expectEvents('rollout_judged', 'rollout_phase');
  const {gateway, settings} = fixture.hosts[0];
  const changed = {...settings, retryExtra: 3, seeds: [...settings.seeds]};
  gateway.applySettings(changed, 'test');
  assert.equal(fixture.events('settings_reloaded')[0].changed, 'retryExtra');
  await gateway.shutDown('test');
  await expectEvents('process_stopping', 'process_stopped');
});

void test('metrics cover requests, runners, retry budgets, rollouts and the process', async () => {
  fixture.configure([{kind: CallKind.SAFE}]);
  await fixture.addRunner(first);
  await fixture.addRunner(second);
  await fixture.startHost();
  await fixture.waitReady();
  fixture.store.put(Topic.OPERATOR, 'rollout/svc', {
    service: 'svc',
    version: 'v2',
    durationMs: 60_000,
  });
  await expectEvents('rollout_ordered');
  fixture.store.put(Topic.RUNNERS, 'one', {...first.entry, isDraining: true});
  await expectEvents('runner_leaving');
  await fixture.call();
  const {metricsPort} = fixture.hosts[0].settings;
  const response = await fetch(`http://127.0.0.1:${metricsPort}/metrics`);
  const text = await response.text();
  for (const line of [
    /^bayspool_requests_total\{route="r",kind="safe",outcome="answered",reason=""\} 1$/m,
    /^bayspool_runners\{service="svc",state="leaving"\} 1$/m,
    /^bayspool_runners\{service="svc",state="ready"\} 1$/m,
    /^bayspool_retry_budget\{service="svc"\} \d/m,
    /^bayspool_rollout_share\{service="svc",phase="active"\} 0\.08$/m,
    /^bayspool_rollout_session_share\{service="svc",phase="active"\} 0$/m,
    /^bayspool_rollout_answers\{service="svc",version="new",result="ended"\} 1$/m,
    /^bayspool_loop_lag_seconds \d/m,
    /^bayspool_log_lines_dropped 0$/m,
    /^bayspool_open_requests 0$/m,
    /^bayspool_configuration_age_seconds \d/m,
  ])
    assert.match(text, line);
});
