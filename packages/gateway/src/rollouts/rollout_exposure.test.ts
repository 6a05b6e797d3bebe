import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {RolloutProgress} from '@bayspool/decisions/calls';
import {RolloutExposure} from './rollout_exposure.js';

/** While all calls are being shifted: more were sent to the new version than the share alone allows. */
const PROGRESS: RolloutProgress = {
  elapsedMs: 15_000,
  durationMs: 20_000,
  sentAll: 20,
  sentFresh: 12,
  goodFresh: 12,
  callsPerMs: 0.001,
  freshPerMs: 0.001,
  isShiftingAll: true,
  isSuspect: false,
  isSeen: true,
};

function createExposure(sharers: number | undefined): RolloutExposure {
  const exposure = new RolloutExposure({
    bounds: {share: 0.15, calls: 30},
    progress: () => PROGRESS,
    ownProgress: () => PROGRESS,
    sharerCount: () => sharers,
  });
  exposure.mergeSteps({1: 10_000});
  return exposure;
}

void test('hosts that do not know how many they are do not each send a new version the fixed part of all of them', () => {
  assert.equal(createExposure(1).isUnderExposureLimit, true);
  assert.equal(createExposure(65).isUnderExposureLimit, false);
  assert.equal(createExposure(undefined).isUnderExposureLimit, false);
});
