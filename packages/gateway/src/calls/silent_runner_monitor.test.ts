/** Guards against taking silence for the end of a runner, and the end of a runner for silence. */
import assert from 'node:assert/strict';
import {beforeEach, test} from 'node:test';
import {VirtualClock} from '@bayspool/kernel';
import {EventLog} from '../observability/event_log.js';
import {GatewayMetrics} from '../observability/gateway_metrics.js';
import {ConnectTimeout} from '../runners/connect_timeout.js';
import {ConnectionPool} from '../runners/connection_pool.js';
import {ListenerState} from '../runners/listener_state.js';
import {Runner} from '../runners/runner.js';
import {RunnerEndEvidence} from '../runners/runner_end_evidence.js';
import type {RunnerEnd} from './runner_end.js';
import {SilentRunnerMonitor} from './silent_runner_monitor.js';

const SILENT_MS = 300;
/** Time within which everything is learned that can be, in ms. */
const LONG_MS = 30_000;
/** Connects to a runner that is silent for so long. */
const MAX_CONNECTS = 6;
const MAX_RUNS = 32;

let clock: VirtualClock;
let listener: ListenerState;
let connects: number;
let returned: number[];
let runners: Runner[];
let ends: RunnerEnd[];
let monitor: SilentRunnerMonitor;

beforeEach(() => {
  clock = new VirtualClock();
  listener = ListenerState.REFUSED;
  connects = 0;
  returned = [];
  runners = [];
  ends = [];
  const log = new EventLog({
    clock,
    host: 'host',
    sink: {write: () => undefined},
  });
  monitor = new SilentRunnerMonitor({
    clock,
    log,
    metrics: new GatewayMetrics(),
    checkListener: () => {
      connects += 1;
      return Promise.resolve(listener);
    },
    runners: () => runners,
    whenConfirmed: (_, apply) => apply(),
    onReturned: start => returned.push(start),
  });
});

function addRunner(id: string, {isDraining = false, bornAt = 1} = {}): Runner {
  const runner = createRunner(id, {isDraining, bornAt});
  runners.push(runner);
  return runner;
}

function createRunner(
  id: string,
  {isDraining, bornAt}: {isDraining: boolean; bornAt: number},
): Runner {
  const entry = {
    id,
    bornAt,
    service: 'svc',
    version: 'v1',
    place: 'a',
    address: `127.0.0.1:${1_000 + runners.length}`,
    slots: 1,
    isDraining,
  };
  const pool = new ConnectionPool({
    clock,
    address: entry.address,
    maxConnections: () => 1,
    connectTimeout: new ConnectTimeout(),
  });
  return new Runner({clock, entry, pool});
}

/** Adds a run that was sent now, and ended without anything from its runner. */
function addRun(runner: Runner, request = 'r-1', parts: string[] = []): void {
  const now = clock.now();
  monitor.add(runner, {
    request,
    fingerprint: request,
    parts,
    sentAt: now,
    lastSignAt: now,
    endedAt: now,
    onRunnerEnded: end => ends.push(end),
  });
}

void test('a run counts once a connect is refused, not before its runner has been silent for a while', async () => {
  addRun(addRunner('a'));
  await clock.advanceSettled(SILENT_MS / 3);
  assert.equal(connects, 0);
  await clock.advanceSettled(SILENT_MS);
  assert.equal(ends.length, 1);
  assert.equal(ends[0].evidence, RunnerEndEvidence.REFUSED);
  assert.ok(ends[0].knownAfterMs <= 2 * SILENT_MS);
});

void test('a run at a runner that leaves as planned does not count', async () => {
  addRun(addRunner('a', {isDraining: true}));
  await clock.advanceSettled(LONG_MS);
  assert.deepEqual(ends, []);
});

void test('a run at a runner that is heard of again does not count, though a connect is refused later', async () => {
  const runner = addRunner('a');
  listener = ListenerState.LISTENING;
  addRun(runner);
  await clock.advanceSettled(SILENT_MS);
  runner.noteBytes();
  listener = ListenerState.REFUSED;
  await clock.advanceSettled(LONG_MS);
  assert.deepEqual(ends, []);
});

for (const state of [ListenerState.LISTENING, ListenerState.UNKNOWN])
  void test(`a runner that is silent is rarely asked, and its runs don't count: ${state}`, async () => {
    const runner = addRunner('a');
    listener = state;
    for (let run = 0; run < 2 * MAX_RUNS; run++) addRun(runner, `r-${run}`);
    await clock.advanceSettled(LONG_MS);
    assert.deepEqual(ends, []);
    assert.ok(connects > 0 && connects <= MAX_CONNECTS, `${connects}`);
    assert.equal(monitor.hasUnsettledRuns, false);
  });

for (const isPlaceHeard of [true, false])
  void test(`a runner without reply whose entry went has ended only if its place is heard of: ${isPlaceHeard}`, async () => {
    const runner = addRunner('a');
    const other = addRunner('b');
    listener = ListenerState.UNKNOWN;
    addRun(runner);
    await clock.advanceSettled(SILENT_MS);
    monitor.noteRemoved(runner, false);
    await clock.advanceSettled(SILENT_MS);
    if (isPlaceHeard) other.noteBytes();
    await clock.advanceSettled(LONG_MS);
    const expected = isPlaceHeard ? [RunnerEndEvidence.REMOVED] : [];
    assert.deepEqual(
      ends.map(({evidence}) => evidence),
      expected,
    );
  });

void test('a runner whose address another one has, or that is there again, has ended', async () => {
  const [first, second] = [addRunner('a'), addRunner('b')];
  listener = ListenerState.LISTENING;
  addRun(first);
  addRun(second);
  await clock.advanceSettled(SILENT_MS);
  monitor.noteEntered({...first.entry, id: 'c'});
  monitor.noteRemoved(second, true);
  assert.deepEqual(
    ends.map(({evidence, wasListening}) => ({evidence, wasListening})),
    [
      {evidence: RunnerEndEvidence.REPLACED, wasListening: false},
      {evidence: RunnerEndEvidence.RESTARTED, wasListening: false},
    ],
  );
});

void test('what is sent to a runner that has ended has no part in it', async () => {
  const runner = addRunner('a');
  addRun(runner);
  await clock.advanceSettled(SILENT_MS);
  assert.equal(ends.length, 1);
  addRun(runner, 'r-2');
  await clock.advanceSettled(LONG_MS);
  assert.equal(ends.length, 1);
});

void test('a request that was answered meanwhile does not count', async () => {
  const runner = addRunner('a');
  addRun(runner, 'r-1');
  addRun(runner, 'r-2');
  monitor.recordAnswer('r-1', []);
  await clock.advanceSettled(LONG_MS);
  assert.equal(ends.length, 1);
});

void test('the end of a runner that is heard of again is taken back', async () => {
  const runner = addRunner('a');
  addRun(runner);
  await clock.advanceSettled(SILENT_MS);
  assert.equal(ends.length, 1);
  runner.noteBytes();
  await clock.advanceSettled(LONG_MS);
  assert.equal(returned.length, 1);
});

void test('the end of a runner is not taken back if its successor was heard of', async () => {
  const runner = addRunner('a');
  addRun(runner);
  await clock.advanceSettled(SILENT_MS);
  runner.noteBytes();
  monitor.noteRemoved(runner, true);
  await clock.advanceSettled(LONG_MS);
  assert.deepEqual(returned, []);
});

void test('a runner at whose address another one answers has ended, and that answer is none of its own', async () => {
  const runner = addRunner('a');
  listener = ListenerState.LISTENING;
  addRun(runner);
  await clock.advanceSettled(SILENT_MS);
  runner.noteBytes();
  monitor.noteReplaced(runner);
  await clock.advanceSettled(LONG_MS);
  assert.equal(ends.length, 1);
  assert.deepEqual(returned, []);
});

void test('a run at a runner whose entry went and is back does not count', async () => {
  const runner = addRunner('a');
  listener = ListenerState.LISTENING;
  addRun(runner);
  monitor.noteRemoved(runner, false);
  await clock.advanceSettled(SILENT_MS);
  monitor.noteEntered(runner.entry);
  listener = ListenerState.REFUSED;
  await clock.advanceSettled(LONG_MS);
  assert.deepEqual(ends, []);
  assert.equal(returned.length, 1);
});

void test('runs that wait and runs that ended count at a runner whose entry was gone for a while before it ended', async () => {
  const before = addRunner('a');
  monitor.noteEntered(before.entry);
  const lastSignAt = clock.now();
  monitor.watch(before, {
    request: 'waiting',
    isAdmitted: true,
    lastSignAt,
    noteRunnerSilent: () => undefined,
    end: () => undefined,
    onRunnerEnded: end => ends.push(end),
  });
  monitor.noteRemoved(before, false);
  const {entry, pool} = before;
  monitor.noteEntered(entry);
  const after = new Runner({clock, entry, pool});
  addRun(after, 'sent after');
  addRun(before, 'sent before');
  addRun(after, 'sent last');
  await clock.advanceSettled(LONG_MS);
  assert.equal(ends.length, 4);
});
