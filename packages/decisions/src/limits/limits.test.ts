import assert from 'node:assert/strict';
import {test} from 'node:test';
import {VirtualClock} from '@bayspool/kernel';
import {PriorityClass} from '../configuration/priority_class.js';
import {AdmissionQueue} from './admission_queue.js';
import {StartTimeFairQueueing} from './start_time_fair_queueing.js';
import {computeLimitShare} from './compute_limit_share.js';
import type {QueuedRequest} from './queued_request.js';

const WORKSPACES = ['a', 'b', 'c'];

function item(
  workspace: string,
  priority: PriorityClass = PriorityClass.INTERACTIVE,
): QueuedRequest {
  return {workspace, weight: 1, priority, deadlineAt: 60_000, cost: 1};
}

void test('urgent requests are served first, and workspaces alternate regardless of how many requests each has queued', async () => {
  const clock = new VirtualClock();
  const queue = new AdmissionQueue<QueuedRequest, string>({
    clock,
    discipline: new StartTimeFairQueueing(),
    maxPerClass: 100,
  });
  const served: string[] = [];
  const never = new AbortController().signal;
  const join = (waiting: QueuedRequest) =>
    queue.enqueue(waiting, never).then(grant => served.push(grant));
  const joined = [
    ...Array.from({length: 20}, () => join(item('a'))),
    join(item('b')),
    join(item('c')),
    join(item('a', PriorityClass.URGENT)),
  ];
  queue.admit(waiting => `${waiting.workspace}/${waiting.priority}`);
  await Promise.all(joined);
  assert.equal(served[0], 'a/urgent');
  assert.deepEqual(
    new Set(served.slice(1, 4)),
    new Set(WORKSPACES.map(name => `${name}/interactive`)),
  );
});

void test('the shares of a limit sum to at most the whole limit, also when the fleet is partitioned', () => {
  const fleet = 10;
  const groups = [
    [5, 1, 0, 0],
    [9, 9, 9],
    [0, 0, 2],
  ];
  const shares = groups.flatMap(demands => {
    const totalDemand = demands.reduce((sum, demand) => sum + demand, 0);
    return demands.map(ownDemand =>
      computeLimitShare({
        ownDemand,
        totalDemand,
        aliveHosts: demands.length,
        fleetHosts: fleet,
      }),
    );
  });
  const sum = shares.reduce((total, share) => total + share, 0);
  assert.ok(sum <= 1 + 1e-9, String(sum));
  assert.ok(shares.every(share => share > 0));
});

void test('a request is rejected when its deadline passes in the queue, and at once when its class is full', async () => {
  const clock = new VirtualClock();
  const queue = new AdmissionQueue<QueuedRequest, string>({
    clock,
    discipline: new StartTimeFairQueueing(),
    maxPerClass: 1,
  });
  const never = new AbortController().signal;
  const waiting = queue.enqueue({...item('a'), deadlineAt: 100}, never);
  await assert.rejects(queue.enqueue(item('b'), never), /too many requests/);
  clock.advance(101);
  await assert.rejects(waiting, /deadline/);
  assert.equal(queue.length, 0);
});
