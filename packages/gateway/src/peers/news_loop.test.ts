import assert from 'node:assert/strict';
import {afterEach, beforeEach, test} from 'node:test';
import type {RecordStore} from '../records/record_store.js';
import {StoreFailure} from '../records/store_failure.js';
import {StoreFailureKind} from '../records/store_failure_kind.js';
import {GatewayFixture} from '../testing/gateway_fixture.js';
import type {MemoryRecordStore} from '../testing/memory_record_store.js';
import {ScriptedRunner} from '../testing/scripted_runner.js';

/** One host's way to the shared store, which can be cut; counts the calls made on it. */
class Way implements RecordStore {
  isCut = false;
  calls = 0;

  constructor(private readonly store: RecordStore) {}

  readNewest(...args: Parameters<RecordStore['readNewest']>) {
    this.pass();
    return this.store.readNewest(...args);
  }

  readFrom(...args: Parameters<RecordStore['readFrom']>) {
    this.pass();
    return this.store.readFrom(...args);
  }

  append(...args: Parameters<RecordStore['append']>) {
    this.pass();
    return this.store.append(...args);
  }

  disconnect(): void {
    // Nothing is kept open.
  }

  private pass(): void {
    this.calls += 1;
    if (this.isCut)
      throw new StoreFailure(StoreFailureKind.UNREACHABLE, 'cut off');
  }
}

const HOSTS = 6;

let fixture: GatewayFixture;
let runner: ScriptedRunner;
let ways: Way[];

beforeEach(async () => {
  fixture = new GatewayFixture();
  runner = new ScriptedRunner({id: 'one'});
  fixture.configure([{}]);
  await fixture.addRunner(runner);
  ways = Array.from({length: HOSTS}, () => new Way(fixture.store));
  for (const way of ways)
    await fixture.startHost({}, way as unknown as MemoryRecordStore);
  for (let i = 0; i < HOSTS; i++) await fixture.waitReady(i);
  await settle();
});

afterEach(async () => {
  await fixture.stop();
  runner.stop();
});

/** Until one host reads for all. */
async function settle(): Promise<void> {
  await pause(3_000);
  for (const way of ways) way.calls = 0;
  await pause(1_500);
}

function pause(forMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, forMs));
}

function readers(): Way[] {
  return ways.filter(({calls}) => calls > 0);
}

void test('a reader that the store turns off is passed over; not every host reads in its place', async () => {
  assert.equal(readers().length, 1);
  readers()[0].isCut = true;
  // Looked at well before the cut reader is asked again, 6 s after it was passed over.
  await pause(3_000);
  for (const way of ways) way.calls = 0;
  await pause(2_000);
  const sound = readers().filter(({isCut}) => !isCut);
  assert.ok(
    sound.length >= 1 && sound.length <= 2,
    `${sound.length} hosts read the store`,
  );
  for (let i = 0; i < HOSTS; i++) assert.equal(await fixture.readiness(i), 200);
});

void test('while the store is away for all, a place asks it at a bounded rate', async () => {
  for (const way of ways) way.isCut = true;
  await pause(5_000);
  for (const way of ways) way.calls = 0;
  await pause(3_000);
  const calls = ways.reduce((sum, way) => sum + way.calls, 0);
  assert.ok(calls > 0 && calls < 60, `${calls} calls in 3 s`);
  for (const way of ways) way.isCut = false;
  await fixture.waitFor(async () => {
    const statuses = await Promise.all(
      ways.map((_, index) => fixture.readiness(index)),
    );
    return statuses.every(status => status === 200);
  });
});

void test('a host that loses its peers only reads the store at once', async () => {
  const [reader] = readers();
  const index = ways.findIndex(way => way !== reader);
  for (const [i, {gateway}] of fixture.hosts.entries())
    if (i !== index) gateway.halt();
  const lostAt = performance.now();
  await fixture.waitFor(() => ways[index].calls > 0);
  assert.ok(performance.now() - lostAt < 3_500);
  await pause(3_500 - (performance.now() - lostAt));
  assert.equal(await fixture.readiness(index), 200);
});
