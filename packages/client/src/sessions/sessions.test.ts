import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {LogLine} from '../explain/log_line.js';
import {describeVersionChanges} from './describe_version_changes.js';
import {findVersionChanges} from './find_version_changes.js';
import {readSessionAttempts} from './read_session_attempts.js';

const GAP_MS = 5_000;

interface Call {
  readonly request: string;
  readonly second: number;
  readonly host: string;
  readonly versions: readonly string[];
  readonly session?: string;
  /** The time and version of a retry. */
  readonly retry?: {readonly second: number; readonly version: string};
}

function linesOf(call: Call): LogLine[] {
  const {request, second, host, versions, session, retry} = call;
  const common = {steadyMs: 0, host, request};
  const chosen = (at: number, version: string) => ({
    ...common,
    time: timeOf(at),
    event: 'runner_chosen',
    service: 'svc',
    version,
    versionReason: 'in the share',
  });
  return [
    {...common, time: timeOf(second), event: 'request_accepted', session},
    ...versions.map(version => chosen(second, version)),
    ...(retry ? [chosen(retry.second, retry.version)] : []),
  ];
}

function timeOf(second: number): string {
  return new Date(second * 1_000).toISOString();
}

function findChanges(calls: readonly Call[]) {
  const attempts = readSessionAttempts(calls.flatMap(linesOf));
  return findVersionChanges({attempts, gapMs: GAP_MS});
}

void test('finds a session that ran on two versions at two hosts', () => {
  const changes = findChanges([
    {request: 'b', second: 4, host: 'h2', versions: ['v2'], session: 's'},
    {request: 'a', second: 1, host: 'h1', versions: ['v1'], session: 's'},
    {request: 'c', second: 5, host: 'h2', versions: ['v2'], session: 's'},
  ]);
  assert.deepEqual(
    changes.map(({before, after}) => [before.request, after.request]),
    [['a', 'b']],
  );
  const text = describeVersionChanges(changes);
  assert.match(text, /1 {2}v1 to v2, another host: in the share/);
  assert.match(text, /b at h2: v2, in the share; remembered: nothing/);
});

void test('the version of the last attempt of a call counts', () => {
  const changes = findChanges([
    {request: 'a', second: 1, host: 'h1', versions: ['v2', 'v1'], session: 's'},
    {request: 'b', second: 2, host: 'h1', versions: ['v1'], session: 's'},
  ]);
  assert.equal(changes.length, 0);
  assert.equal(
    describeVersionChanges(changes),
    'no session changed its version',
  );
});

void test('a call that is retried while another one runs counts as the later one', () => {
  const retry = {second: 4, version: 'v2'};
  const changes = findChanges([
    {
      request: 'a',
      second: 1,
      host: 'h1',
      versions: ['v1'],
      session: 's',
      retry,
    },
    {request: 'b', second: 2, host: 'h2', versions: ['v1'], session: 's'},
  ]);
  assert.deepEqual(
    changes.map(({before, after}) => [before.request, after.request]),
    [['b', 'a']],
  );
});

void test('calls without a session, of different sessions, or after a longer gap are not compared', () => {
  const changes = findChanges([
    {request: 'a', second: 1, host: 'h1', versions: ['v1'], session: 's'},
    {request: 'b', second: 2, host: 'h1', versions: ['v2'], session: 't'},
    {request: 'c', second: 3, host: 'h1', versions: ['v2']},
    {request: 'd', second: 7, host: 'h1', versions: ['v2'], session: 's'},
  ]);
  assert.equal(changes.length, 0);
});
