import assert from 'node:assert/strict';
import {test} from 'node:test';
import {describeTimeline} from './describe_timeline.js';
import type {LogLine} from './log_line.js';
import {buildTimeline} from './build_timeline.js';

let steadyMs = 0;

function line(second: number, event: string, fields: object = {}): LogLine {
  const time = new Date(second * 1_000).toISOString();
  return {time, steadyMs: steadyMs++, host: 'host-1', event, ...fields};
}

const lines: LogLine[] = [
  line(1, 'configuration_in_force', {version: 1}),
  line(2, 'configuration_in_force', {version: 2}),
  line(3, 'store_lost', {reason: 'no answer'}),
  line(3, 'runner_ejected', {runner: 'other'}),
  line(4, 'runner_seen', {runner: 'one'}),
  {...line(4, 'store_lost'), host: 'host-2'},
  line(5, 'request_accepted', {request: 'r-1'}),
  line(5, 'runner_chosen', {request: 'r-1', runner: 'one'}),
  line(6, 'runner_ejected', {runner: 'one', reason: 'reset'}),
  line(6, 'request_accepted', {request: 'r-2'}),
  line(7, 'request_failed', {request: 'r-1', status: 502}),
];

void test("a timeline holds the request's lines, the state at its start, and the changes while it ran", () => {
  const timeline = buildTimeline([...lines].reverse(), 'r-1');
  assert.deepEqual(
    timeline.lines.map(({event}) => event),
    ['request_accepted', 'runner_chosen', 'request_failed'],
  );
  assert.deepEqual(
    timeline.beliefs.map(({event, version}) => [event, version]),
    [
      ['configuration_in_force', 2],
      ['store_lost', undefined],
      ['runner_seen', undefined],
    ],
  );
  assert.deepEqual(
    timeline.changes.map(({event}) => event),
    ['runner_ejected'],
  );
});

void test('the text names the host, the inputs and the outcome', () => {
  const text = describeTimeline(buildTimeline(lines, 'r-1'));
  assert.match(text, /request r-1 at host-1/);
  assert.match(text, /configuration_in_force version=2/);
  assert.match(text, /ended with: request_failed status=502/);
});
