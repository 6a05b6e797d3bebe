import assert from 'node:assert/strict';
import {test} from 'node:test';
import {VirtualClock} from '@bayspool/kernel';
import {OutlierDetector} from './outlier_detector.js';

void test('a runner that fails more often than the others is left alone for a time', () => {
  const clock = new VirtualClock();
  const health = new OutlierDetector({clock});
  for (let i = 0; i < 5; i++) {
    health.recordFailure();
    health.recordSuccess();
  }
  assert.equal(health.ejectIfOutlier(0.4, 0, 0), undefined);
  const forMs = health.ejectIfOutlier(0.05, 0, 0);
  assert.ok(forMs !== undefined && health.isEjected);
  clock.advance(forMs + 1);
  assert.equal(health.isEjected, false);
});

void test('what other hosts saw counts for an ejection', () => {
  const health = new OutlierDetector({clock: new VirtualClock()});
  health.recordFailure();
  assert.equal(health.ejectIfOutlier(0.05, 0, 0), undefined);
  assert.notEqual(health.ejectIfOutlier(0.05, 1, 4), undefined);
});
