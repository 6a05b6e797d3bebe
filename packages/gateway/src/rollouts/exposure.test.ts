/**
 * Guards against a bad version that gets too many calls. Between the rollout order and its deadline, bad versions got up to half
 * of a service's calls, where 15 % of them plus 30 are allowed; some of them were never rolled back.
 *
 * Cause: no session moves in the first half of a rollout, so a service all of whose calls belong to sessions sent nothing to the
 * new version and learned nothing about it. From then on the share rose with time alone, to all calls at three quarters of the
 * duration. At low call rates hardly any response was known by then, and a fault that shows only under load, late or on one
 * route was not known at any rate.
 *
 * Seen in simulations of a small installation at 5, 15, 75 and 114 calls per second with five kinds of faults. In the first of
 * them, no response of the new version had failed when it got all calls: 631 of 1,813, where 302 are allowed.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {RolloutScenarios} from '../testing/rollout_scenarios.js';

/** Time simulated after the deadline, in ms: longer than a rollback may take. */
const AFTER_DEADLINE_MS = 8_000;

void test('a bad version stays within its exposure bounds at any call rate and gets no calls after the rollback deadline', async () => {
  const faults: string[] = [];
  for (const [fault, version] of Object.entries(
    RolloutScenarios.faultyVersions,
  )) {
    for (const scenario of new RolloutScenarios({version}).all()) {
      const {name, simulation} = scenario;
      await simulation.runToLimit();
      const excess = RolloutScenarios.describeExcess(scenario);
      faults.push(...excess.map(text => `${fault}: ${text}`));
      await simulation.continueFor(AFTER_DEADLINE_MS);
      if (simulation.lateCalls > 0)
        faults.push(`${fault}: ${name}: ${simulation.lateCalls} too late`);
    }
  }
  assert.deepEqual(faults, []);
});
