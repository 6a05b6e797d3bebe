import assert from 'node:assert/strict';
import {test} from 'node:test';
import {CallKind} from '@bayspool/decisions/calls';
import {VirtualClock} from '@bayspool/kernel';
import type {StopPhase} from '../lifecycle/stop_phase.js';
import {GatewayMetrics} from '../observability/gateway_metrics.js';
import {CallProgress} from './call_progress.js';
import type {IncomingCall} from './incoming_call.js';
import {OutcomeKind} from './outcome_kind.js';
import {RetryPolicy} from './retry_policy.js';

/** Creates a policy of a stopping host that has only time for the small model. */
function createPolicy(): RetryPolicy {
  const canEnd = (_call: unknown, _phase: StopPhase, model?: string) =>
    model === 'small';
  const options = {stopAdmission: {canEnd}};
  type Options = ConstructorParameters<typeof RetryPolicy>[0];
  return new RetryPolicy(options as unknown as Options);
}

void test('an escalation that was decided on is not taken back while the small response is gone already', () => {
  const policy = createPolicy();
  const call = {} as IncomingCall;
  const progress = new CallProgress({call, model: 'small'});
  assert.equal(policy.canEnd(progress), true);
  progress.recordEscalation(0);
  progress.model = 'large';
  assert.equal(policy.canEnd(progress), true);
  progress.recordAdmitted();
  assert.equal(policy.canEnd(progress), false);
});

interface Setup {
  readonly isStopping?: boolean;
  readonly hasBudget?: boolean;
  readonly kind?: CallKind;
  readonly limitMs?: number;
}

/** Decides whether a call is sent again that a runner has failed. */
function decideRetry({
  isStopping = false,
  hasBudget = true,
  kind = CallKind.SAFE,
  limitMs = 5_000,
}: Setup) {
  const clock = new VirtualClock();
  const written: Array<Record<string, unknown>> = [];
  const budget = {
    remaining: 1,
    windowCounts: {calls: 1, retries: 0},
    reserve: () => (hasBudget ? {} : undefined),
  };
  const options = {
    clock,
    log: {
      write: (event: string, fields: object) =>
        written.push({event, ...fields}),
    },
    metrics: new GatewayMetrics(),
    quarantine: {remainingMs: () => 0, askForTrial: () => undefined},
    partQuarantine: {isEmpty: true},
    retryBudgetOf: () => budget,
    membership: {},
    stopAdmission: {canEnd: () => !isStopping},
  };
  type Options = ConstructorParameters<typeof RetryPolicy>[0];
  const policy = new RetryPolicy(options as unknown as Options);
  const call = {
    id: 'call-1',
    service: 's',
    deadlineAt: limitMs,
    route: {name: 'r', kind, attempts: 3, models: []},
  } as unknown as IncomingCall;
  const progress = new CallProgress({call});
  progress.sentCount = 1;
  const outcome = {kind: OutcomeKind.BROKEN, reason: 'runner ended'};
  const isRetried = policy.decideRetry(progress, outcome);
  const line = written.find(({event}) => event === 'retry_decided');
  return {isRetried, line};
}

void test('a call that is not sent again has a line that tells why', () => {
  const cases: Array<[Setup, string]> = [
    [{isStopping: true}, 'host is stopping'],
    [{hasBudget: false}, 'retry budget is spent'],
    [{kind: CallKind.UNSAFE}, 'not repeatable'],
    [{limitMs: 20}, 'no time left'],
  ];
  for (const [setup, refusal] of cases) {
    const {isRetried, line} = decideRetry(setup);
    assert.equal(isRetried, false);
    assert.equal(line?.again, false);
    assert.equal(line?.refusal, refusal);
    assert.equal(line?.reason, 'runner ended');
  }
  const {isRetried, line} = decideRetry({});
  assert.equal(isRetried, true);
  assert.equal(line?.refusal, undefined);
});
