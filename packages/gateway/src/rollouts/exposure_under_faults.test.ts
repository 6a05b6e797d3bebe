/** The story is told in exposure.test.ts; here hosts restart or are cut off, and calls come faster meanwhile. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {RolloutScenarios} from '../testing/rollout_scenarios.js';
import type {RolloutWorld} from '../testing/rollout_world.js';
import {SoundVersion} from '../testing/sound_version.js';

/** How many times the usual rate calls come at in a surge, and for how long, in ms. */
const SURGE_TIMES = 2.5;
const SURGE_MS = 4_000;
/** Parts of the time limit at which a surge begins. */
const SURGE_PARTS = [0.3, 0.55, 0.7, 0.85];
/** Calls in a second with which surges and faults are played. */
const RATES = [5, 15, 80];
const HOSTS = [0, 1, 2, 3, 4, 5, 6];

const {badVersions} = RolloutScenarios;

function surgeAt(part: number) {
  return (durationMs: number) => (elapsedMs: number) => {
    const sinceMs = elapsedMs - part * durationMs;
    return sinceMs >= 0 && sinceMs < SURGE_MS ? SURGE_TIMES : 1;
  };
}

/** What happens to the hosts, or to the rate of calls. */
interface Trouble {
  readonly surge?: ReturnType<typeof surgeAt>;
  readonly prepare?: (world: RolloutWorld) => void;
}

/** Plays a version whose fault does not show, and one that fails seldom, and tells where they got too much. */
async function play({surge, prepare}: Trouble): Promise<string[]> {
  const excess: string[] = [];
  for (const what of [
    'fails under a load that does not come',
    'fails seldom',
  ]) {
    const version = badVersions[what];
    const scenarios = new RolloutScenarios({
      version,
      surge,
      callsPerSecond: RATES,
    });
    for (const scenario of scenarios.all()) {
      prepare?.(scenario.world);
      await scenario.world.play();
      const told = RolloutScenarios.tellExcess(scenario);
      excess.push(...told.map(text => `${what}: ${text}`));
    }
  }
  return excess;
}

void test('a good version is complete in time at any rate of calls, and its sessions move once', async () => {
  const scenarios = new RolloutScenarios({version: () => new SoundVersion()});
  for (const {name, world} of scenarios.all()) {
    await world.play();
    assert.deepEqual(world.phases, ['active', 'complete'], name);
    assert.deepEqual(world.moved, {back: 0, early: 0}, name);
  }
});

void test('a bad version gets its part of the calls at most while calls surge, hosts restart or are cut off', async () => {
  const surges = SURGE_PARTS.map(part => ({surge: surgeAt(part)}));
  const restarts = (world: RolloutWorld) => {
    for (const host of HOSTS)
      world.at(2_000 * (host + 1), () => world.restart(host));
    world.at(13_000, () => HOSTS.forEach(host => world.restart(host)));
  };
  const cuts = (world: RolloutWorld) => {
    world.at(7_000, () => world.cutOff([0, 1, 2], true));
    world.at(12_000, () => world.cutOff([0, 1, 2], false));
  };
  const excess: string[] = [];
  for (const trouble of [...surges, {prepare: restarts}, {prepare: cuts}])
    excess.push(...(await play(trouble)));
  assert.deepEqual(excess, []);
});
