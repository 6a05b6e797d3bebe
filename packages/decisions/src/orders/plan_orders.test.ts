import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {Configuration} from '../configuration/configuration.js';
import {emptyConfiguration} from '../configuration/empty_configuration.js';
import type {Version} from '../configuration/version.js';
import {planOrders} from './plan_orders.js';
import type {RunnerInventory} from './runner_inventory.js';

const stable: Version = {
  id: 'geo@1',
  model: 'geo',
  state: 'stable',
  cost: 1,
  strength: 1,
};
const rollingOut: Version = {
  ...stable,
  id: 'geo@2',
  state: 'rolling-out',
  rollOut: {steps: [0.5, 1], step: 0, exposure: 10},
};

function configWith(...versions: Version[]): Configuration {
  return {
    ...emptyConfiguration,
    offset: 0,
    versions: Object.fromEntries(
      versions.map(version => [version.id, version]),
    ),
    workspaces: {
      survey: {
        id: 'survey',
        keyHashes: [],
        home: 'hall-a',
        crossing: false,
        whenStale: 'serve',
        weight: 1,
        services: [],
        tasks: {
          default: {
            priority: 'interactive',
            quality: 0.9,
            versions: versions.map(version => version.id),
            deadlineMs: 1_000,
          },
        },
      },
    },
  };
}

function runners(
  count: number,
  versions: readonly string[],
): RunnerInventory[] {
  return Array.from({length: count}, (_, index) => ({
    id: `runner-${index}`,
    versions,
    versionSlots: 2,
    drained: false,
  }));
}

void test("a version in rollout is loaded on its current step's fraction of the runners", () => {
  const orders = planOrders(
    configWith(stable, rollingOut),
    runners(8, ['geo@1']),
  );
  assert.equal(orders.length, 4);
  assert.ok(
    orders.every(
      order => order.version === 'geo@2' && order.desired === 'loaded',
    ),
  );
});

void test('an interrupted rollout continues from the state that the runners report', () => {
  const all = runners(8, ['geo@1']);
  const first = planOrders(configWith(stable, rollingOut), all);
  const loaded = new Set(first.slice(0, 2).map(order => order.runner));
  const partlyLoaded = all.map(runner =>
    loaded.has(runner.id) ? {...runner, versions: ['geo@1', 'geo@2']} : runner,
  );
  const remaining = planOrders(configWith(stable, rollingOut), partlyLoaded);
  assert.equal(remaining.length, 2);
  assert.ok(remaining.every(order => !loaded.has(order.runner)));
});

void test('a withdrawn version is unloaded, and its slot is used for another version', () => {
  const withdrawn: Version = {...stable, id: 'geo@0', state: 'withdrawn'};
  const fullRunners = runners(2, ['geo@0', 'geo@1']);
  const orders = planOrders(
    configWith(stable, withdrawn, {
      ...rollingOut,
      rollOut: undefined,
      state: 'stable',
    }),
    fullRunners,
  );
  assert.deepEqual(
    orders.map(({version, desired}) => `${desired} ${version}`).sort(),
    ['loaded geo@2', 'loaded geo@2', 'unloaded geo@0', 'unloaded geo@0'],
  );
});

void test('every lease holder plans the same orders from the same reports', () => {
  const config = configWith(stable, rollingOut);
  const one = planOrders(config, runners(8, ['geo@1']));
  const two = planOrders(config, [...runners(8, ['geo@1'])].reverse());
  const key = (orders: typeof one) =>
    orders.map(order => `${order.runner} ${order.version}`).sort();
  assert.deepEqual(key(one), key(two));
});
