import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {LogLine} from '../explain/log_line.js';
import {CallOutcome} from './call_outcome.js';
import {describeLosses} from './describe_losses.js';
import {plotLosses} from './plot_losses.js';
import {readCalls} from './read_calls.js';
import {summarizeLosses} from './summarize_losses.js';

function line(event: string, request?: string, fields: object = {}): LogLine {
  const time = new Date(1_000_000).toISOString();
  return {time, steadyMs: 0, host: 'host-1', event, request, ...fields};
}

function answered(
  request: string,
  attempts: ReadonlyArray<{workMs: number; firstMs: number; outcome: string}>,
): LogLine[] {
  const attemptLines = attempts.flatMap(({workMs, firstMs, outcome}, index) => [
    line('runner_chosen', request, {attempt: index + 1, workMs}),
    line('attempt_ended', request, {
      attempt: index + 1,
      outcome,
      firstMs,
      forMs: firstMs,
    }),
  ]);
  const firstMs = attempts.reduce((sum, attempt) => sum + attempt.firstMs, 0);
  return [
    line('request_accepted', request, {route: 'r', targetMs: 1_000}),
    ...attemptLines,
    line('request_answered', request, {firstMs, status: 200}),
  ];
}

const lines: LogLine[] = [
  line('process_started', undefined, {place: 'a'}),
  ...answered('quick', [{workMs: 50, firstMs: 90, outcome: 'answered'}]),
  ...answered('queued', [{workMs: 50, firstMs: 1_500, outcome: 'answered'}]),
  ...answered('long', [{workMs: 1_400, firstMs: 1_500, outcome: 'answered'}]),
  ...answered('twice', [
    {workMs: 100, firstMs: 900, outcome: 'weak'},
    {workMs: 100, firstMs: 200, outcome: 'answered'},
  ]),
  ...answered('moved', [
    {workMs: 100, firstMs: 900, outcome: 'broken'},
    {workMs: 100, firstMs: 200, outcome: 'answered'},
  ]),
  line('request_refused', 'refused', {status: 503, reason: 'no configuration'}),
  line('request_refused', 'denied', {status: 404, reason: 'no route'}),
];

void test('a late answer is attributed to the cause that took most of its time', () => {
  const reasons = new Map(
    readCalls(lines).map(call => [call.request, call.reason]),
  );
  assert.equal(reasons.get('quick'), '');
  assert.equal(reasons.get('queued'), 'waiting at the runner');
  assert.equal(reasons.get('long'), 'reading the prompt');
  assert.equal(reasons.get('twice'), 'a second model');
  assert.equal(reasons.get('moved'), 'a retry');
  assert.equal(reasons.get('refused'), 'no configuration');
  assert.equal(reasons.has('denied'), false);
});

void test('outcomes are counted by route, place, second and reason', () => {
  const summary = summarizeLosses(readCalls(lines));
  const [route] = summary.byRoute.filter(({name}) => name === 'r');
  assert.equal(route.calls, 5);
  assert.equal(route.inTime, 1);
  assert.equal(route.late, 4);
  assert.deepEqual(
    summary.byPlace.map(({name, refused}) => [name, refused]),
    [['a', 1]],
  );
  assert.equal(summary.bySecond.length, 1);
  assert.equal(summary.droppedAnswers, 1);
  assert.equal(summary.droppedMs, 100);
  assert.match(describeLosses(summary), /late: a second model/);
  assert.match(plotLosses(summary), /^<svg/);
});

void test('a relayed call is counted once, by the host whose caller sent it', () => {
  const relayed = {host: 'host-2', relayedBy: 'host-1'};
  const accepted = {route: 'r', targetMs: 1_000};
  const answeredAt = {firstMs: 50, status: 200};
  const refused = {...relayed, host: 'host-3', status: 429};
  const calls = readCalls([
    line('request_accepted', 'moved', accepted),
    line('request_refused', 'moved', refused),
    line('request_accepted', 'moved', {...accepted, ...relayed}),
    line('request_answered', 'moved', answeredAt),
    line('request_answered', 'moved', {...answeredAt, host: 'host-2'}),
  ]);
  assert.deepEqual(
    calls.map(({request, end}) => [request, end]),
    [['moved', CallOutcome.IN_TIME]],
  );
});
