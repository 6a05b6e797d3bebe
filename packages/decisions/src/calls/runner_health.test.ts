import assert from 'node:assert/strict';
import {test} from 'node:test';
import {VirtualClock} from '@bayspool/kernel';
import {RunnerHealth} from './runner_health.js';

void test('a runner that fails more often than the others is left alone for a time', () => {
  const clock = new VirtualClock();
  const health = new RunnerHealth({clock});
  for (let i = 0; i < 5; i++) {
    health.countFailure();
    health.countOk();
  }
  assert.equal(health.ejectIfWorse(0.4, 0, 0), undefined);
  const forMs = health.ejectIfWorse(0.05, 0, 0);
  assert.ok(forMs !== undefined && health.isEjected);
  clock.advance(forMs + 1);
  assert.equal(health.isEjected, false);
});

void test('what other hosts saw counts for an ejection', () => {
  const health = new RunnerHealth({clock: new VirtualClock()});
  health.countFailure();
  assert.equal(health.ejectIfWorse(0.05, 0, 0), undefined);
  assert.notEqual(health.ejectIfWorse(0.05, 1, 4), undefined);
});
