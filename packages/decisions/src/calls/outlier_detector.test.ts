import assert from 'node:assert/strict';
import {test} from 'node:test';
import {VirtualClock} from '@bayspool/kernel';
import {OutlierDetector} from './outlier_detector.js';

void test('a runner that fails more often than the others is ejected for some time', () => {
  const clock = new VirtualClock();
  const detector = new OutlierDetector({clock});
  for (let i = 0; i < 5; i++) {
    detector.recordFailure();
    detector.recordSuccess();
  }
  assert.equal(detector.ejectIfOutlier(0.4, 0, 0), undefined);
  const ejectionMs = detector.ejectIfOutlier(0.05, 0, 0);
  assert.ok(ejectionMs !== undefined && detector.isEjected);
  clock.advance(ejectionMs + 1);
  assert.equal(detector.isEjected, false);
});

void test('outcomes on other hosts count for an ejection', () => {
  const detector = new OutlierDetector({clock: new VirtualClock()});
  detector.recordFailure();
  assert.equal(detector.ejectIfOutlier(0.05, 0, 0), undefined);
  assert.notEqual(detector.ejectIfOutlier(0.05, 1, 4), undefined);
});
