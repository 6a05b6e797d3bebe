// Guards against calls that a stopping host begins although it has to abort them, and against refusals without need.
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {DurationEstimator} from '@bayspool/decisions/capacity';
import {SeededRandom, VirtualClock} from '@bayspool/kernel';
import type {CallHead} from '../calls/call_head.js';
import type {CallRejection} from '../calls/call_rejection.js';
import {EventLog} from '../observability/event_log.js';
import {GatewayMetrics} from '../observability/gateway_metrics.js';
import {StopAdmission} from './stop_admission.js';
import {StopPhase} from './stop_phase.js';
import {StopSchedule} from './stop_schedule.js';

const GRACE_MS = 8_000;
/** Time from the start of a shutdown until open calls are aborted, in ms. */
const ABORT_MS = 7_300;
/** Calls that all take the same time, so that the estimate is close to it. */
const SAMPLES = 200;

function createScene() {
  const clock = new VirtualClock();
  const lines: string[] = [];
  const sink = {write: (line: string) => void lines.push(line)};
  const schedule = new StopSchedule({clock});
  const durations = new DurationEstimator();
  const admission = new StopAdmission({
    clock,
    random: new SeededRandom(1),
    log: new EventLog({clock, host: 'host-0', sink}),
    metrics: new GatewayMetrics(),
    schedule,
    durations,
  });
  const learn = (durationMs: number) => {
    for (let sample = 0; sample < SAMPLES; sample++)
      durations.record({route: 'r', durationMs});
  };
  const createCall = (limitMs = 25_000) =>
    ({
      id: 'call-1',
      route: {name: 'r'},
      acceptedAt: clock.now(),
      deadlineAt: clock.now() + limitMs,
    }) as CallHead;
  const find = (call: CallHead) =>
    admission.findRejection(call, StopPhase.HEAD);
  const start = () => schedule.start(GRACE_MS);
  return {clock, admission, start, learn, createCall, find, lines};
}

void test('a host that does not stop begins every call', () => {
  const {learn, find, createCall} = createScene();
  learn(60_000);
  assert.equal(find(createCall()), undefined);
});

void test('a call that takes longer than the stop is refused at once, and told to turn elsewhere soon', () => {
  const {start, learn, find, createCall, lines} = createScene();
  learn(9_000);
  start();
  const rejection = find(createCall());
  assert.ok(rejection?.retryAfterMs !== undefined);
  assert.ok(rejection.retryAfterMs <= 50);
  const line = JSON.parse(lines[0]) as Record<string, unknown>;
  assert.equal(line.event, 'stop_refused');
  assert.equal(line.request, 'call-1');
  assert.equal(line.leftMs, ABORT_MS);
});

void test('a call that ends in time is begun to the last moment', () => {
  const {clock, start, learn, find, createCall} = createScene();
  learn(100);
  start();
  clock.advance(ABORT_MS - 200);
  assert.equal(find(createCall()), undefined);
  clock.advance(150);
  assert.ok(find(createCall()));
});

void test('a call whose time limit ends before the stop is begun however long its route takes', () => {
  const {start, learn, find, createCall} = createScene();
  learn(60_000);
  start();
  assert.equal(find(createCall(ABORT_MS - 1)), undefined);
});

void test('a call of unknown length is begun at first if a part of its time limit is left, so that short ones are not all refused', () => {
  const {clock, start, find, createCall} = createScene();
  start();
  clock.advance(2_900);
  assert.equal(find(createCall(16_000)), undefined);
  assert.ok(find(createCall(25_000)));
});

void test('a call of unknown length is begun late only if it ends in time whatever it takes', () => {
  const {clock, start, find, createCall} = createScene();
  start();
  clock.advance(3_100);
  assert.ok(find(createCall(8_000)));
  assert.equal(find(createCall(ABORT_MS - 3_100)), undefined);
});

void test('a call that waits is refused once, as soon as it would no longer end', () => {
  const {clock, admission, start, learn, createCall} = createScene();
  learn(1_000);
  const rejections: CallRejection[] = [];
  admission.watch(createCall(), StopPhase.BODY, rejection =>
    rejections.push(rejection),
  );
  start();
  clock.advance(5_500);
  admission.review();
  assert.equal(rejections.length, 0);
  clock.advance(500);
  admission.review();
  admission.review();
  assert.equal(rejections.length, 1);
});

void test('a call that no longer waits is not refused', () => {
  const {clock, admission, start, learn, createCall} = createScene();
  learn(1_000);
  const stopWatching = admission.watch(createCall(), StopPhase.BODY, () =>
    assert.fail('it is not watched any more'),
  );
  start();
  stopWatching();
  clock.advance(7_000);
  admission.review();
});

void test('the time for which a signal waited is taken off the time that is left', () => {
  const {clock} = createScene();
  const schedule = new StopSchedule({clock});
  schedule.start(GRACE_MS, 300);
  assert.equal(schedule.leftMs, ABORT_MS - 300);
});
