// Guards against exceeding a declared limit: a runner that declared 2 requests per second received 30 in 4 s from
// seven hosts. The test simulates hosts on a virtual clock that, unless a test says otherwise, exchange nothing.
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {findLimitExcess} from '@bayspool/decisions/calls/testing';
import {SeededRandom, VirtualClock} from '@bayspool/kernel';
import type {CordonRegistry} from '../discovery/cordon_registry.js';
import type {ConnectionPool} from './connection_pool.js';
import {DeclaredLimitBound} from './declared_limit_bound.js';
import {Runner} from './runner.js';
import {RunnerGate} from './runner_gate.js';
import {SentCalls} from './sent_calls.js';

const TOLERANCE = {overage: 1.5, slack: 5, windowMs: 4_000};
const STEP_MS = 10;
/** Longest time to the runner, and longest time from there to the response headers, in ms. */
const MAX_SEND_MS = 50;
const MAX_RESPONSE_MS = 300;
/** Delay of an urgent limit change between hosts, and interval of their regular exchanges, in ms. */
const URGENT_DELAY_MS = 150;
const EXCHANGE_INTERVAL_MS = 600;
/** Time until all hosts know of a limit, in ms; only windows that begin later are checked, as shares do not apply before. */
const PROPAGATION_MS = 1_000;
const BOUND = {...TOLERANCE, contactMs: PROPAGATION_MS + TOLERANCE.windowMs};

interface Host {
  readonly gate: RunnerGate;
  readonly runner: Runner;
  /** When the host first received a response with a limit. */
  limitSeenAt: number;
}

interface SimulationOptions {
  readonly hosts: number;
  readonly seed: number;
  /** Requests per second that callers send to all hosts together. */
  readonly callsPerSecond: number;
  /** Limit that the runner declares at a time; undefined for none. */
  readonly limitAt: (now: number) => number | undefined;
  /** How many hosts a host knows at a time; all if left out. */
  readonly knownHosts?: (host: number, now: number) => number;
  /** Whether a host receives no calls. */
  readonly isIdle?: (host: number) => boolean;
  /** Whether hosts exchange the limits they observe. */
  readonly isExchanging?: boolean;
}

/** Simulates hosts that send to one runner. @returns the arrivals, each with the time from which its host must keep the limit */
function simulate(options: SimulationOptions, forMs: number) {
  const {hosts: count, seed, callsPerSecond, limitAt} = options;
  const {knownHosts = () => count, isIdle = () => false} = options;
  const {isExchanging = false} = options;
  const clock = new VirtualClock();
  const random = new SeededRandom(seed);
  const names = Array.from({length: count}, (_, i) => `host-${i}`);
  const hosts = names.map((name, index) => createHost(name, index));
  const arrivals: Array<{at: number; host: Host}> = [];

  function createHost(host: string, index: number): Host {
    const entry = {
      id: 'i-1',
      service: 'svc',
      version: 'v1',
      place: 'a',
      address: '127.0.0.1:1',
      slots: 8,
      isDraining: false,
    };
    const pool = {hasCapacity: true} as unknown as ConnectionPool;
    const limit = new DeclaredLimitBound({
      clock,
      host,
      hosts: () => names.slice(0, knownHosts(index, clock.now())),
      tolerance: () => TOLERANCE,
    });
    const gate = new RunnerGate({
      cordons: {has: () => false} as unknown as CordonRegistry,
      bounds: [limit],
      sent: new SentCalls({clock, retentionMs: 5_000}),
    });
    const runner: Runner = new Runner({
      clock,
      entry,
      pool,
      onLimitChange: ({isFromPeer}) => {
        if (isExchanging && !isFromPeer)
          clock.after(URGENT_DELAY_MS, exchangeLimits);
      },
    });
    return {gate, runner, limitSeenAt: Infinity};
  }

  /** Gives all hosts the newest observation of any of them. */
  function exchangeLimits(): void {
    const limits = hosts.map(({runner}) => runner.limit);
    const newest = limits.reduce((a, b) => (b.ageMs < a.ageMs ? b : a));
    const {perSecond, ageMs} = newest;
    for (const limit of limits)
      limit.updateFromPeer(perSecond, clock.now() - ageMs);
  }

  function send(host: Host): void {
    const {gate, runner} = host;
    if (gate.filterOpen([runner]).length === 0) return;
    if (gate.admit(runner) !== undefined) return;
    const sentAt = clock.now();
    clock.after(random.next() * MAX_SEND_MS, () => {
      arrivals.push({at: clock.now(), host});
      clock.after(random.next() * MAX_RESPONSE_MS, () =>
        receiveResponse(host, sentAt),
      );
    });
  }

  function receiveResponse(host: Host, sentAt: number): void {
    const perSecond = limitAt(clock.now());
    if (perSecond !== undefined && host.limitSeenAt === Infinity)
      host.limitSeenAt = clock.now();
    host.runner.limit.updateFromResponse({perSecond}, sentAt, clock.now());
  }

  for (let now = 0; now < forMs; now += STEP_MS) {
    if (isExchanging && now % EXCHANGE_INTERVAL_MS === 0) exchangeLimits();
    const host = random.below(count);
    if (random.next() < (callsPerSecond * STEP_MS) / 1_000 && !isIdle(host))
      send(hosts[host]);
    clock.advance(STEP_MS);
  }
  return arrivals.map(({at, host}) => ({at, boundAt: host.limitSeenAt + 500}));
}

function countBetween(
  arrivals: ReadonlyArray<{readonly at: number}>,
  from: number,
  until: number,
): number {
  return arrivals.filter(({at}) => at >= from && at < until).length;
}

void test('no window exceeds the bound, whatever the limit and the number of hosts', () => {
  let seed = 0;
  for (const hosts of [1, 2, 7])
    for (const perSecond of [0, 0.1, 0.5, 1, 2, 2.2, 7, 30])
      for (const callsPerSecond of [40, 100]) {
        seed += 1;
        const limitAt = () => perSecond;
        const arrivals = simulate(
          {hosts, seed, callsPerSecond, limitAt},
          40_000,
        );
        const limits = [{at: 0, perSecond}];
        const excess = findLimitExcess({
          ...BOUND,
          limits,
          arrivals,
          until: 40_000,
        });
        assert.equal(
          excess,
          undefined,
          `${hosts} hosts, ${perSecond} a second`,
        );
      }
});

void test('hosts that exchange limits keep the bound from the first declaration on', () => {
  let seed = 0;
  for (const hosts of [2, 7, 65])
    for (const perSecond of [0.2, 2, 2.2, 7])
      for (const callsPerSecond of [4, 7]) {
        seed += 1;
        const limitAt = (now: number) => (now < 10_000 ? undefined : perSecond);
        const arrivals = simulate(
          {hosts, seed, callsPerSecond, limitAt, isExchanging: true},
          40_000,
        );
        const excess = findLimitExcess({
          ...TOLERANCE,
          // What arrived in the window before was sent while the runner had no limit.
          contactMs: TOLERANCE.windowMs,
          limits: [{at: 10_000, perSecond}],
          arrivals,
          until: 40_000,
        });
        assert.equal(excess, undefined, `${hosts} hosts, ${perSecond}`);
      }
});

void test('most of 65 hosts with few calls each learn a limit from other hosts, without a request of their own', () => {
  const limitAt = (now: number) => (now < 10_000 ? undefined : 0);
  const countArrivals = (isExchanging: boolean) => {
    const options = {
      hosts: 65,
      seed: 9,
      callsPerSecond: 10,
      limitAt,
      isExchanging,
    };
    return countBetween(simulate(options, 30_000), 10_000, 30_000);
  };
  const arrivals = countArrivals(true);
  assert.ok(arrivals <= 15, `${arrivals} arrived`);
  assert.ok(countArrivals(false) > 3 * arrivals);
});

void test('hosts use at least half of the limit', () => {
  for (const hosts of [1, 7, 65])
    for (const perSecond of [0.2, 1, 2, 10]) {
      const limitAt = () => perSecond;
      const arrivals = simulate(
        {hosts, seed: 3, callsPerSecond: 60, limitAt},
        60_000,
      );
      const count = countBetween(arrivals, 20_000, 60_000);
      assert.ok(
        count >= 0.5 * 40 * perSecond,
        `${hosts} hosts, ${perSecond} a second: ${count} in 40 s`,
      );
    }
});

void test('the bound holds while hosts are added one by one and each host learns of them at a different time', () => {
  for (let seed = 1; seed <= 40; seed++) {
    const perSecond = [0.5, 2, 5, 20][seed % 4];
    const knownHosts = (host: number, now: number) => {
      const added = Math.floor((now - (host % 5) * 2_000) / 4_000);
      return Math.max(host + 1, 4, Math.min(9, 4 + added));
    };
    const limitAt = () => perSecond;
    const arrivals = simulate(
      {hosts: 9, seed, callsPerSecond: 60, limitAt, knownHosts},
      30_000,
    );
    const limits = [{at: 0, perSecond}];
    const excess = findLimitExcess({
      ...BOUND,
      limits,
      arrivals,
      until: 30_000,
    });
    assert.equal(excess, undefined, `seed ${seed}`);
  }
});

void test('hosts that do not know the other hosts yet send nothing to a runner with a limit', () => {
  const limitAt = () => 2;
  const knownHosts = (_host: number, now: number) => (now < 20_000 ? 0 : 7);
  const arrivals = simulate(
    {hosts: 7, seed: 5, callsPerSecond: 60, limitAt, knownHosts},
    30_000,
  );
  assert.equal(countBetween(arrivals, 3_000, 20_000), 0);
  assert.ok(countBetween(arrivals, 20_000, 30_000) > 0);
});

void test('calls sent under a large limit count towards a smaller one that replaces it', () => {
  const limitAt = (now: number) => (now < 20_000 ? 20 : 1);
  for (let seed = 1; seed <= 10; seed++) {
    const arrivals = simulate(
      {hosts: 7, seed, callsPerSecond: 60, limitAt},
      40_000,
    );
    const knownAt = 20_000 + PROPAGATION_MS;
    const excess = findLimitExcess({
      ...TOLERANCE,
      contactMs: 0,
      limits: [{at: knownAt, perSecond: 1}],
      arrivals: arrivals.filter(({at}) => at > knownAt),
      until: 40_000,
    });
    assert.equal(excess, undefined, `seed ${seed}`);
  }
});

void test('hosts notice that a runner with a limit of 0 takes requests again, even if most hosts have no calls', () => {
  const limitAt = (now: number) => (now < 30_000 ? 0 : undefined);
  for (const hosts of [1, 7]) {
    const isIdle = (host: number) => host !== hosts - 1;
    const options = {hosts, seed: 7, callsPerSecond: 60, limitAt, isIdle};
    const arrivals = simulate(options, 120_000);
    assert.ok(countBetween(arrivals, 5_000, 30_000) <= 5);
    assert.ok(countBetween(arrivals, 110_000, 120_000) > 50);
  }
});

void test('a runner with a limit does not receive all calls of a window at once', () => {
  const limitAt = () => 6;
  const arrivals = simulate(
    {hosts: 4, seed: 11, callsPerSecond: 100, limitAt},
    40_000,
  );
  const later = arrivals.filter(({at}) => at > 5_000);
  const most = Math.max(
    ...later.map(({at}) => countBetween(later, at, at + 1_000)),
  );
  // Twice the limit per second.
  assert.ok(most <= 12, `${most} in a second`);
});
