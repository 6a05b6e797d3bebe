// Guards against giving up a runner that pauses when no runner is left that could go on in its place.
import assert from 'node:assert/strict';
import {afterEach, beforeEach, test} from 'node:test';
import {CallKind} from '@bayspool/decisions/calls';
import {Topic} from '../records/topic.js';
import type {CallerResult} from '../testing/caller_result.js';
import {formatEvent} from '../testing/format_event.js';
import {GatewayFixture} from '../testing/gateway_fixture.js';
import {plainHeaderNames as names} from '../testing/plain_header_names.js';
import {ScriptedRunner} from '../testing/scripted_runner.js';
import {writeStreamHead} from '../testing/write_stream_head.js';

type Script = ScriptedRunner['script'];

/** Longer than the pause after which a stream is continued elsewhere, in ms. */
const PAUSE_MS = 1_200;
const EVENTS = [1, 2, 3, 4, 5];
const ALL_EVENTS = EVENTS.map(formatEvent).join('');

let fixture: GatewayFixture;

beforeEach(() => {
  fixture = new GatewayFixture();
});

afterEach(() => fixture.stop());

/** Streams the rest of the events, with a pause after the first of them. */
const streamWithPause: Script = ({id, headers}, response) => {
  const from = Number(headers[names.lastEventId] ?? 0);
  const [next, ...others] = EVENTS.slice(from).map(formatEvent);
  writeStreamHead(id, response);
  response.write(next);
  setTimeout(() => response.end(others.join('')), PAUSE_MS);
};

const breakOff: Script = ({id, socket}, response) => {
  writeStreamHead(id, response);
  response.write(formatEvent(1) + formatEvent(2));
  setTimeout(() => socket.destroy(), 30);
};

const fail: Script = ({id}, response) => {
  response.writeHead(500, {[names.requestId]: id}).end();
};

/** Answers the requests to all runners that use it in this order; the last script answers all others. */
function inOrder(...scripts: readonly Script[]): Script {
  let count = 0;
  return (request, response) => {
    const script = scripts[Math.min(count++, scripts.length - 1)];
    script(request, response);
  };
}

function serve(runners: readonly ScriptedRunner[]): Promise<void> {
  const route = {kind: CallKind.RESUMABLE, timeLimitMs: 8_000};
  return fixture.serve(route, runners, {retryRatio: 5});
}

function assertWhole({body, isComplete}: CallerResult): void {
  assert.equal(body, ALL_EVENTS);
  assert.ok(isComplete);
}

void test('a runner that pauses is not given up for one that has failed the call', async () => {
  const script = inOrder(breakOff, streamWithPause, fail);
  const runners = ['a', 'b'].map(id => new ScriptedRunner({id, script}));
  await serve(runners);
  assertWhole(await fixture.call());
});

void test('the only runner of the old version is not given up for a version on trial, which may not go on', async () => {
  const script = inOrder(streamWithPause, fail);
  const old = new ScriptedRunner({id: 'old', script});
  const fresh = new ScriptedRunner({
    id: 'new',
    version: 'v2',
    script: ({id}, response) => {
      writeStreamHead(id, response);
      response.end(ALL_EVENTS);
    },
  });
  await serve([old, fresh]);
  fixture.store.put(Topic.OPERATOR, 'rollout/svc', {
    service: 'svc',
    version: 'v2',
    durationMs: 60_000,
  });
  await fixture.waitFor(() => fixture.events('rollout_ordered').length === 1);
  let result = await fixture.call();
  while (old.received.length === 0) result = await fixture.call();
  assertWhole(result);
});
