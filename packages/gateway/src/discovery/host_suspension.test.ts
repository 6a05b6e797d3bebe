import assert from 'node:assert/strict';
import {afterEach, beforeEach, test} from 'node:test';
import {CallKind} from '@bayspool/decisions/calls';
import {plainHeaderNames as names} from '../testing/plain_header_names.js';
import {RolloutFixture} from '../testing/rollout_fixture.js';

const KEYED = {kind: CallKind.SAFE, isPublic: false};
const KEYS = {'key-1': {workspace: 'ws'}};
const WITH_KEY = {headers: {[names.apiKey]: 'key-1'}};

let fixture: RolloutFixture;

beforeEach(async () => {
  fixture = new RolloutFixture();
  await fixture.prepare();
  fixture.configure([KEYED], KEYS);
  await fixture.startHost({keyBoundMs: 5_000});
  await fixture.waitReady();
});

afterEach(() => fixture.stop());

async function suspendDuringOutage(forMs: number): Promise<void> {
  fixture.store.isDown = true;
  fixture.hosts[0].suspend(forMs);
}

void test('after a short suspension keys are still honoured', async () => {
  await suspendDuringOutage(500);
  assert.equal((await fixture.call(WITH_KEY)).status, 200);
});

for (const forMs of [5_000, 30_000])
  void test(`a host that was suspended for ${forMs} ms honours no key until its configuration is current again`, async () => {
    await suspendDuringOutage(forMs);
    const {status, headers} = await fixture.call(WITH_KEY);
    assert.equal(status, 503, 'the key may have been withdrawn meanwhile');
    assert.ok(headers['retry-after']);
    assert.equal(await fixture.fetchReadiness(), 503);
    fixture.store.isDown = false;
    await fixture.waitReady();
    assert.equal((await fixture.call(WITH_KEY)).status, 200);
  });

void test('a suspension does not make a rollout appear older, which would overstate its share', async () => {
  fixture.order({durationMs: 20_000});
  await fixture.waitFor(() => fixture.events('rollout_ordered').length > 0);
  fixture.hosts[0].suspend(15_000);
  await fixture.waitFor(
    async () => (await fixture.call(WITH_KEY)).status === 200,
  );
  const share = fixture.events('runner_chosen').at(-1)?.rolloutShare;
  assert.ok(Number(share) <= 0.08, `share ${String(share)}`);
});
