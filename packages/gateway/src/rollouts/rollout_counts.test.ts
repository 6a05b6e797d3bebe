import assert from 'node:assert/strict';
import {test} from 'node:test';
import {VirtualClock} from '@bayspool/kernel';
import {EventLog} from '../observability/event_log.js';
import {mergeLoadDigests} from '../peers/merge_load_digests.js';
import {subtractLoadDigest} from '../peers/subtract_load_digest.js';
import {logRolloutCounts} from './log_rollout_counts.js';
import {Rollout} from './rollout.js';

const clock = new VirtualClock();
const lines: string[] = [];
const log = new EventLog({
  clock,
  host: 'host',
  sink: {write: line => lines.push(line)},
});

function createRollout(fresh: number, old: number): Rollout {
  const order = {service: 'svc', version: 'v2', durationMs: 24_000, offset: 7};
  const rollout = new Rollout({
    clock,
    log,
    order,
    elapsedMs: 0,
    isSeen: true,
    statesFrom: 0,
  });
  for (let i = 0; i < fresh; i++) rollout.evidence.recordSent(true);
  for (let i = 0; i < old; i++) rollout.evidence.recordSent(false);
  return rollout;
}

function tell(rollout: Rollout) {
  return {runners: {}, rollouts: {svc: rollout.createDigest(0)}};
}

void test('what all hosts sent to the two versions is summed, without what a host told itself', () => {
  const own = createRollout(2, 10);
  const other = createRollout(3, 20);
  const sum = mergeLoadDigests([tell(own), tell(other)]);
  own.remoteDigest = subtractLoadDigest(sum, tell(own)).rollouts.svc;
  assert.deepEqual(own.sent, {fresh: 5, old: 30});
});

void test('a host of an earlier version that tells no counts adds none', () => {
  const own = createRollout(2, 10);
  const {freshSent, oldSent, ...earlier} = createRollout(3, 20).createDigest(0);
  assert.deepEqual([freshSent, oldSent], [3, 20]);
  own.remoteDigest = earlier;
  assert.deepEqual(own.sent, {fresh: 2, old: 10});
});

void test('a line tells what was given to the versions and what was seen of them', () => {
  const rollout = createRollout(2, 10);
  rollout.evidence.recordEnded('route/', true, true, {expectedMs: 0});
  logRolloutCounts(log, rollout);
  const line = JSON.parse(lines.at(-1)!) as Record<string, unknown>;
  assert.equal(line.event, 'rollout_counted');
  assert.deepEqual(
    [line.newSent, line.oldSent, line.newEnded, line.newFailed],
    [2, 10, 1, 1],
  );
});
