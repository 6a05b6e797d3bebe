/** The exposure bounds of exposure.test.ts while hosts restart or are cut off, and while call rates surge. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {RolloutScenarios} from '../testing/rollout_scenarios.js';
import type {RolloutSimulation} from '../testing/rollout_simulation.js';
import {HealthyVersion} from '../testing/healthy_version.js';

/** Call rate during a surge as a multiple of the usual rate, and the duration of a surge in ms. */
const SURGE_FACTOR = 2.5;
const SURGE_MS = 4_000;
/** Start of a surge as a part of the rollout duration. */
const SURGE_PARTS = [0.3, 0.55, 0.7, 0.85];
/** Call rates of the simulations with surges and host faults, in calls per second. */
const RATES = [5, 15, 80];
const HOSTS = [0, 1, 2, 3, 4, 5, 6];

const {faultyVersions} = RolloutScenarios;

function createSurge(part: number) {
  return (durationMs: number) => (elapsedMs: number) => {
    const sinceMs = elapsedMs - part * durationMs;
    return sinceMs >= 0 && sinceMs < SURGE_MS ? SURGE_FACTOR : 1;
  };
}

/** A disturbance of the hosts or of the call rate. */
interface Disturbance {
  readonly surge?: ReturnType<typeof createSurge>;
  readonly prepare?: (simulation: RolloutSimulation) => void;
}

/** Simulates a version whose fault never shows and one that fails seldom; returns the scenarios with too many calls. */
async function findExcess({surge, prepare}: Disturbance): Promise<string[]> {
  const excess: string[] = [];
  for (const fault of [
    'fails under a load that does not come',
    'fails seldom',
  ]) {
    const version = faultyVersions[fault];
    const scenarios = new RolloutScenarios({
      version,
      surge,
      callsPerSecond: RATES,
    });
    for (const scenario of scenarios.all()) {
      prepare?.(scenario.simulation);
      await scenario.simulation.runToLimit();
      const texts = RolloutScenarios.describeExcess(scenario);
      excess.push(...texts.map(text => `${fault}: ${text}`));
    }
  }
  return excess;
}

void test('a good version completes in time at any call rate, and its sessions move once', async () => {
  const scenarios = new RolloutScenarios({version: () => new HealthyVersion()});
  for (const {name, simulation} of scenarios.all()) {
    await simulation.runToLimit();
    assert.deepEqual(simulation.phases, ['active', 'complete'], name);
    assert.deepEqual(simulation.sessionMoves, {back: 0, early: 0}, name);
  }
});

void test('a bad version stays within its exposure bounds while call rates surge and hosts restart or are cut off', async () => {
  const surges = SURGE_PARTS.map(part => ({surge: createSurge(part)}));
  const restarts = (simulation: RolloutSimulation) => {
    for (const host of HOSTS)
      simulation.scheduleAt(2_000 * (host + 1), () => simulation.restart(host));
    simulation.scheduleAt(13_000, () =>
      HOSTS.forEach(host => simulation.restart(host)),
    );
  };
  const cuts = (simulation: RolloutSimulation) => {
    simulation.scheduleAt(7_000, () =>
      simulation.setPartitioned([0, 1, 2], true),
    );
    simulation.scheduleAt(12_000, () =>
      simulation.setPartitioned([0, 1, 2], false),
    );
  };
  const excess: string[] = [];
  for (const disturbance of [...surges, {prepare: restarts}, {prepare: cuts}])
    excess.push(...(await findExcess(disturbance)));
  assert.deepEqual(excess, []);
});
