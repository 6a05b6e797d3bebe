// When a place came back cold, 65 hosts that each saw idle runners sent up to 27 requests in a second to runners that were to
// get 24.5 at most. Hosts cannot ask each other first, so each one's own share has to bound the sum.
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {computeColdRunnerShare} from './compute_cold_runner_share.js';

const limits = {perSecond: 13, overage: 1.5, slack: 5};

function nameHosts(count: number, from = 0): string[] {
  return Array.from({length: count}, (_, i) => `host-${from + i}`);
}

function sumOf(runner: string, hosts: readonly string[], bounds = limits) {
  return hosts.reduce(
    (sum, host) =>
      sum + computeColdRunnerShare({runner, host, hosts, limits: bounds}),
    0,
  );
}

void test('the sum over all hosts stays within the rate of a runner and uses most of it', () => {
  for (const count of [1, 2, 3, 5, 7, 22, 65, 195]) {
    const sum = sumOf('i-1', nameHosts(count));
    assert.ok(sum <= 13 && sum >= 9, `${count} hosts: ${sum}`);
  }
});

void test('hosts with different views of the membership stay within the bound of the platform together', () => {
  const some = fc.uniqueArray(fc.nat(200), {minLength: 1, maxLength: 100});
  const bounds = fc.record({
    perSecond: fc.double({min: 1, max: 100, noNaN: true}),
    overage: fc.double({min: 1, max: 3, noNaN: true}),
    slack: fc.double({min: 0, max: 20, noNaN: true}),
  });
  fc.assert(
    fc.property(some, some, bounds, fc.string(), (one, two, cold, runner) => {
      const toNames = (list: number[]) => list.map(i => `host-${i}`);
      const [first, second] = [toNames(one), toNames(two)];
      const sum = sumOf(runner, first, cold) + sumOf(runner, second, cold);
      assert.ok(sum <= cold.perSecond * cold.overage + cold.slack + 1e-9);
      assert.ok(sumOf(runner, first, cold) <= cold.perSecond);
    }),
  );
});

void test('each of many cold runners gets calls from some host, and nearly every host has a runner to send to', () => {
  const hosts = nameHosts(22);
  const runners = Array.from({length: 26}, (_, i) => `i-${i}`);
  const shareOf = (runner: string, host: string) =>
    computeColdRunnerShare({runner, host, hosts, limits});
  for (const runner of runners)
    assert.ok(hosts.some(host => shareOf(runner, host) > 0));
  const useful = hosts.filter(host =>
    runners.some(runner => shareOf(runner, host) > 0),
  );
  assert.ok(useful.length >= 20, `${useful.length} hosts`);
});
