import assert from 'node:assert/strict';
import {afterEach, beforeEach, test} from 'node:test';
import {RolloutFixture} from '../testing/rollout_fixture.js';

/** Duration of a write to the store, in ms: longer than the interval between two reconciliations. */
const SLOW_WRITE_MS = 500;

let fixture: RolloutFixture;

beforeEach(async () => {
  fixture = new RolloutFixture();
  await fixture.prepare();
});

afterEach(() => fixture.stop());

void test('a version found bad while its start is being written is announced before it is reverted', async () => {
  fixture.store.appendDelayMs = SLOW_WRITE_MS;
  fixture.failCanary();
  fixture.order({durationMs: 20_000});
  await fixture.startHost({sessionKeptMs: 10});
  await fixture.waitReady();
  for (let i = 0; i < 300 && fixture.events('rollout_judged').length < 1; i++)
    await fixture.call();
  await fixture.waitFor(() => fixture.phases().includes('reverted'));
  assert.deepEqual(fixture.phases(), ['active', 'reverted']);
});

void test('rollouts of two services ordered at once are both announced', async () => {
  fixture.store.appendDelayMs = SLOW_WRITE_MS;
  await fixture.startHost({sessionKeptMs: 10});
  await fixture.waitReady();
  fixture.order({durationMs: 60_000});
  fixture.order({service: 'llm', durationMs: 60_000});
  await fixture.waitFor(
    () => fixture.phases('svc').length > 0 && fixture.phases('llm').length > 0,
  );
  assert.deepEqual(fixture.phases('svc'), ['active']);
  assert.deepEqual(fixture.phases('llm'), ['active']);
});
