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

void test('urgent work goes first, and workspaces take turns however many requests each has waiting', async () => {
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

void test('the parts of a limit add up to at most the whole, also when the fleet falls into groups', () => {
  const fleet = 10;
  const groups = [
    [5, 1, 0, 0],
    [9, 9, 9],
    [0, 0, 2],
  ];
  const parts = groups.flatMap(demands => {
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
  const sum = parts.reduce((total, part) => total + part, 0);
  assert.ok(sum <= 1 + 1e-9, String(sum));
  assert.ok(parts.every(part => part > 0));
});

void test('a request whose deadline passes in the queue is refused, and a full class refuses at once', async () => {
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
