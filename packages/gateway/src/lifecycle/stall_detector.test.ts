import assert from 'node:assert/strict';
import {test} from 'node:test';
import {VirtualClock} from '@bayspool/kernel';
import {EventLog} from '../observability/event_log.js';
import {StallDetector} from './stall_detector.js';

/** Time in which a process does what it has to do, in ms. */
const NORMAL_WORK_MS = 1_000;
/** Time for which what waited may go on to be read, in ms. */
const BACKLOG_MS = 2_000;

/** A watch whose process can stand still: time goes on, and no timer fires before it goes on. */
function createStallableProcess() {
  const clock = new VirtualClock();
  let standstillMs = 0;
  let changedAt: number | undefined;
  const lines: string[] = [];
  const now = () => clock.now() + standstillMs;
  const watch = new StallDetector({
    clock: {
      now,
      wall: () => clock.wall(),
      after: (delayMs, action) => clock.after(delayMs, action),
    },
    log: new EventLog({
      clock,
      host: 'host-1',
      sink: {write: line => void lines.push(line)},
    }),
    configurationChangedAt: () => changedAt,
  });
  const adopt = () => {
    changedAt = now();
  };
  watch.start();
  adopt();
  clock.advance(NORMAL_WORK_MS);
  return {
    watch,
    clock,
    lines,
    adopt,
    standStill: (forMs: number) => {
      standstillMs += forMs;
    },
  };
}

void test('a configuration that comes while all goes on is no reason to doubt', () => {
  const {watch, clock, adopt, lines} = createStallableProcess();
  adopt();
  assert.ok(!watch.mayPredateConfiguration());
  clock.advance(NORMAL_WORK_MS);
  assert.ok(!watch.mayPredateConfiguration());
  assert.deepEqual(lines, []);
});

void test('behind a standstill a request may be older than a configuration that was not known before', () => {
  const {watch, adopt, standStill} = createStallableProcess();
  standStill(2_000);
  adopt();
  assert.ok(watch.mayPredateConfiguration());
});

void test('it is doubted for as long as what waited may go on to be read, and no longer', () => {
  const {watch, clock, adopt, standStill} = createStallableProcess();
  standStill(5_000);
  clock.advance(BACKLOG_MS - NORMAL_WORK_MS);
  adopt();
  assert.ok(watch.mayPredateConfiguration());
  clock.advance(NORMAL_WORK_MS + 100);
  assert.ok(!watch.mayPredateConfiguration());
});

void test('a host that is always behind doubts each configuration for a bounded time', () => {
  const {watch, clock, adopt, standStill} = createStallableProcess();
  const fallBehind = (times: number) => {
    for (let i = 0; i < times; i++) {
      standStill(400);
      clock.advance(100);
      watch.mayPredateConfiguration();
    }
  };
  fallBehind(10);
  adopt();
  assert.ok(watch.mayPredateConfiguration());
  fallBehind(6);
  assert.ok(!watch.mayPredateConfiguration());
});

void test('a standstill over which the configuration stayed what it was raises no doubt', () => {
  const {watch, clock, standStill, lines} = createStallableProcess();
  standStill(9_000);
  assert.ok(!watch.mayPredateConfiguration());
  clock.advance(100);
  assert.ok(!watch.mayPredateConfiguration());
  const events = lines.map(line => (JSON.parse(line) as {event: string}).event);
  assert.deepEqual(events, ['stood_still']);
});
