// Runners that declared a limit for all hosts together got several times that. Each host has to compute its share without
// asking the others.
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {computeHostShare} from './compute_host_share.js';
import {computeWindowQuota} from './compute_window_quota.js';
import {rankByHash} from './rank_by_hash.js';

const bounds = fc.record({
  perSecond: fc.double({min: 0, max: 100, noNaN: true}),
  overage: fc.double({min: 1, max: 3, noNaN: true}),
  slack: fc.double({min: 0, max: 20, noNaN: true}),
  windowMs: fc.integer({min: 500, max: 10_000}),
});
const names = fc.uniqueArray(fc.nat(300), {minLength: 1, maxLength: 100});

function shareOf(
  host: string,
  hosts: readonly string[],
  calls: number,
  minUsefulCalls = 1,
): number {
  const rank = rankByHash('i-1', hosts).indexOf(host);
  return computeHostShare({
    calls,
    minUsefulCalls,
    hosts: hosts.length,
    rank,
  });
}

function sumOf(hosts: readonly string[], calls: number, minUsefulCalls = 1) {
  return hosts.reduce(
    (sum, host) => sum + shareOf(host, hosts, calls, minUsefulCalls),
    0,
  );
}

function nameHosts(count: number): string[] {
  return Array.from({length: count}, (_, i) => `host-${i}`);
}

void test('all calls are shared evenly, for any number of hosts', () => {
  for (const count of [1, 3, 7, 65, 195])
    for (const calls of [0, 1, 8, 40]) {
      const hosts = nameHosts(count);
      const shares = hosts.map(host => shareOf(host, hosts, calls));
      assert.equal(sumOf(hosts, calls), calls, `${count} hosts, ${calls}`);
      assert.ok(Math.max(...shares) - Math.min(...shares) <= 1);
    }
});

void test('hosts with two different views of the membership stay within the bound together', () => {
  fc.assert(
    fc.property(names, names, bounds, (one, two, bound) => {
      const calls = computeWindowQuota(bound);
      const sum = sumOf(one.map(String), calls) + sumOf(two.map(String), calls);
      const capacity = (bound.perSecond * bound.windowMs) / 1_000;
      assert.ok(sum <= capacity * bound.overage + bound.slack + 1e-9);
    }),
  );
});

void test('if hosts learn of added hosts at different times, only the added ones exceed the calls', () => {
  const steps = fc.array(fc.nat(5), {minLength: 1, maxLength: 6});
  const calls = fc.nat(60);
  fc.assert(
    fc.property(
      fc.integer({min: 1, max: 30}),
      steps,
      calls,
      (first, add, n) => {
        const sizes = [first];
        for (const more of add) sizes.push(sizes[sizes.length - 1] + more);
        const all = nameHosts(sizes[sizes.length - 1]);
        let known = 0;
        let added = 0;
        all.forEach((host, index) => {
          // Each host knows one of the sets that contain it.
          const fitting = sizes.filter(size => size > index);
          const size = fitting[index % fitting.length];
          const share = shareOf(host, all.slice(0, size), n);
          if (index < first) known += share;
          else added += share;
        });
        assert.ok(known <= n, `${known} of ${n}`);
        const largest = shareOf(all[0], all.slice(0, first), n) + 1;
        assert.ok(added <= (all.length - first) * largest);
      },
    ),
  );
});
