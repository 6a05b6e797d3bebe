import assert from 'node:assert/strict';
import {test} from 'node:test';
import {SeededRandom} from '@bayspool/kernel';
import {DriftDetector} from './drift_detector.js';
import {computeExposureQuota} from './compute_exposure_quota.js';
import {GateVerdict} from './gate_verdict.js';
import {SequentialGate} from './sequential_gate.js';

const SEED = 7;
const TRIALS = 2_000;
const MAX_RATINGS = 5_000;

/** Adds ratings one by one until the gate decides. */
function runTrial(
  badRate: number,
  random: SeededRandom,
): {verdict: GateVerdict; bad: number} {
  const gate = new SequentialGate();
  let good = 0;
  let bad = 0;
  for (let count = 0; count < MAX_RATINGS; count++) {
    if (random.next() < badRate) bad++;
    else good++;
    const verdict = gate.evaluate({good, bad, open: 0}, 0.1);
    if (verdict !== GateVerdict.WAIT) return {verdict, bad};
  }
  return {verdict: GateVerdict.WAIT, bad};
}

void test('fewer than 1 in 100 good versions are halted, and a bad version is halted after few bad answers', () => {
  const random = new SeededRandom(SEED);
  const good = Array.from({length: TRIALS}, () => runTrial(0.1, random));
  const halted = good.filter(({verdict}) => verdict === GateVerdict.HALT);
  assert.ok(halted.length < TRIALS / 100, `${halted.length} of ${TRIALS}`);
  const bad = Array.from({length: TRIALS}, () => runTrial(0.5, random));
  const passed = bad.filter(({verdict}) => verdict === GateVerdict.PASS);
  assert.ok(passed.length < TRIALS / 100, `${passed.length} of ${TRIALS}`);
  const mean = bad.reduce((sum, trial) => sum + trial.bad, 0) / TRIALS;
  assert.ok(mean < 20, `${mean} bad answers on average`);
});

void test('a degraded stable version is detected, and a good one raises no false alarm', () => {
  const random = new SeededRandom(SEED);
  const detector = new DriftDetector();
  const alarms = Array.from({length: 10_000}, () => {
    const isBad = random.next() < 0.05;
    return detector.addRatings(isBad ? 0 : 1, isBad ? 1 : 0, 0.05);
  });
  assert.ok(!alarms.includes(true));
  let count = 0;
  for (; count < 1_000; count++) {
    const isBad = random.next() < 0.5;
    if (detector.addRatings(isBad ? 0 : 1, isBad ? 1 : 0, 0.05)) break;
  }
  assert.ok(count < 60, `${count} answers`);
});

void test('the quotas of the exposure budget sum to it exactly, also with more hosts than budget', () => {
  for (const count of [1, 7, 49, 340]) {
    const hosts = Array.from({length: count}, (_, index) => `host-${index}`);
    const quotas = hosts.map(self =>
      computeExposureQuota({exposure: 50, version: 'geo@2', self, hosts}),
    );
    assert.equal(
      quotas.reduce((sum, quota) => sum + quota, 0),
      50,
    );
  }
});
