// A runner that named 2 requests a second got 30 in 4 s from seven hosts. Hosts on a virtual clock that tell each other nothing play it here.
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {findLimitExcess} from '@bayspool/decisions/calls/testing';
import {SeededRandom, VirtualClock} from '@bayspool/kernel';
import type {Cordons} from '../beliefs/cordons.js';
import type {ConnectionPool} from './connection_pool.js';
import {DeclaredLimitBound} from './declared_limit_bound.js';
import {Runner} from './runner.js';
import {RunnerGate} from './runner_gate.js';
import {SentCalls} from './sent_calls.js';

const TOLERANCE = {overage: 1.5, slack: 5, windowMs: 4_000};
const STEP_MS = 10;
/** Longest way to the runner, and longest time from there to the head of the answer, in ms. */
const WAY_MS = 50;
const HEAD_MS = 300;
/** Time in which hosts have told each other that a runner is in need, and pause between what else they tell, in ms. */
const URGENT_MS = 150;
const TELL_MS = 600;
/** What was sent before a host could know is no matter of shares: windows count that begin when all hosts know. */
const KNOWN_MS = 1_000;
const BOUND = {...TOLERANCE, contactMs: KNOWN_MS + TOLERANCE.windowMs};

interface Host {
  readonly gate: RunnerGate;
  readonly runner: Runner;
  /** When it first got an answer with a limit. */
  toldAt: number;
}

interface WorldOptions {
  readonly hosts: number;
  readonly seed: number;
  /** Requests a second that callers want to be sent there, over all hosts. */
  readonly wanted: number;
  /** What the runner names at a time; undefined for nothing. */
  readonly limitAt: (now: number) => number | undefined;
  /** Which of the hosts a host knows at a time; all if left out. */
  readonly knownTo?: (host: number, now: number) => number;
  /** Hosts that get no calls. */
  readonly idle?: (host: number) => boolean;
  /** Whether hosts tell each other what they heard. */
  readonly isTelling?: boolean;
}

/** Plays hosts that send to one runner. @returns arrivals, each with the time from which its host is bound */
function play(options: WorldOptions, forMs: number) {
  const {hosts: count, seed, wanted, limitAt} = options;
  const {knownTo = () => count, idle = () => false} = options;
  const {isTelling = false} = options;
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
    const pool = {hasRoom: true} as unknown as ConnectionPool;
    const limit = new DeclaredLimitBound({
      clock,
      host,
      hosts: () => names.slice(0, knownTo(index, clock.now())),
      tolerance: () => TOLERANCE,
    });
    const gate = new RunnerGate({
      cordons: {has: () => false} as unknown as Cordons,
      bounds: [limit],
      sent: new SentCalls({clock, retentionMs: 5_000}),
    });
    const runner: Runner = new Runner({
      clock,
      entry,
      pool,
      onLimitChange: ({isFromPeer: isTold}) => {
        if (isTelling && !isTold) clock.after(URGENT_MS, tell);
      },
    });
    return {gate, runner, toldAt: Infinity};
  }

  /** All hosts take over what one of them heard last. */
  function tell(): void {
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
    clock.after(random.next() * WAY_MS, () => {
      arrivals.push({at: clock.now(), host});
      clock.after(random.next() * HEAD_MS, () => answer(host, sentAt));
    });
  }

  function answer(host: Host, sentAt: number): void {
    const perSecond = limitAt(clock.now());
    if (perSecond !== undefined && host.toldAt === Infinity)
      host.toldAt = clock.now();
    host.runner.limit.updateFromResponse({perSecond}, sentAt, clock.now());
  }

  for (let now = 0; now < forMs; now += STEP_MS) {
    if (isTelling && now % TELL_MS === 0) tell();
    const host = random.below(count);
    if (random.next() < (wanted * STEP_MS) / 1_000 && !idle(host))
      send(hosts[host]);
    clock.advance(STEP_MS);
  }
  return arrivals.map(({at, host}) => ({at, boundAt: host.toldAt + 500}));
}

function countBetween(
  arrivals: ReadonlyArray<{readonly at: number}>,
  from: number,
  until: number,
): number {
  return arrivals.filter(({at}) => at >= from && at < until).length;
}

void test('whatever is named, and however many hosts there are, no window holds more than is allowed', () => {
  let seed = 0;
  for (const hosts of [1, 2, 7])
    for (const perSecond of [0, 0.1, 0.5, 1, 2, 2.2, 7, 30])
      for (const wanted of [40, 100]) {
        seed += 1;
        const limitAt = () => perSecond;
        const arrivals = play({hosts, seed, wanted, limitAt}, 40_000);
        const limits = [{at: 0, perSecond}];
        const told = findLimitExcess({
          ...BOUND,
          limits,
          arrivals,
          until: 40_000,
        });
        assert.equal(told, undefined, `${hosts} hosts, ${perSecond} a second`);
      }
});

void test('hosts that hear of a runner in need from each other keep the bound from its first naming on', () => {
  let seed = 0;
  for (const hosts of [2, 7, 65])
    for (const perSecond of [0.2, 2, 2.2, 7])
      for (const wanted of [4, 7]) {
        seed += 1;
        const limitAt = (now: number) => (now < 10_000 ? undefined : perSecond);
        const arrivals = play(
          {hosts, seed, wanted, limitAt, isTelling: true},
          40_000,
        );
        const excess = findLimitExcess({
          ...TOLERANCE,
          // What arrived in the second before that was sent to a runner that took everything.
          contactMs: TOLERANCE.windowMs,
          limits: [{at: 10_000, perSecond}],
          arrivals,
          until: 40_000,
        });
        assert.equal(excess, undefined, `${hosts} hosts, ${perSecond}`);
      }
});

void test('of 65 hosts that each get few calls most learn it from others, without a request of their own', () => {
  const limitAt = (now: number) => (now < 10_000 ? undefined : 0);
  const countTo = (isTelling: boolean) => {
    const options = {hosts: 65, seed: 9, wanted: 10, limitAt, isTelling};
    return countBetween(play(options, 30_000), 10_000, 30_000);
  };
  const told = countTo(true);
  assert.ok(told <= 15, `${told} arrived`);
  assert.ok(countTo(false) > 3 * told);
});

void test('most of what a runner takes is used', () => {
  for (const hosts of [1, 7, 65])
    for (const perSecond of [0.2, 1, 2, 10]) {
      const limitAt = () => perSecond;
      const arrivals = play({hosts, seed: 3, wanted: 60, limitAt}, 60_000);
      const count = countBetween(arrivals, 20_000, 60_000);
      assert.ok(
        count >= 0.5 * 40 * perSecond,
        `${hosts} hosts, ${perSecond} a second: ${count} in 40 s`,
      );
    }
});

void test('hosts that are added one after the other, and known to each at another time, keep the bound', () => {
  for (let seed = 1; seed <= 40; seed++) {
    const perSecond = [0.5, 2, 5, 20][seed % 4];
    const knownTo = (host: number, now: number) => {
      const added = Math.floor((now - (host % 5) * 2_000) / 4_000);
      return Math.max(host + 1, 4, Math.min(9, 4 + added));
    };
    const limitAt = () => perSecond;
    const arrivals = play(
      {hosts: 9, seed, wanted: 60, limitAt, knownTo},
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

void test('hosts that do not know the others yet send a runner in need nothing', () => {
  const limitAt = () => 2;
  const knownTo = (_host: number, now: number) => (now < 20_000 ? 0 : 7);
  const arrivals = play(
    {hosts: 7, seed: 5, wanted: 60, limitAt, knownTo},
    30_000,
  );
  assert.equal(countBetween(arrivals, 3_000, 20_000), 0);
  assert.ok(countBetween(arrivals, 20_000, 30_000) > 0);
});

void test('what was sent under a large limit leaves no room under a small one', () => {
  const limitAt = (now: number) => (now < 20_000 ? 20 : 1);
  for (let seed = 1; seed <= 10; seed++) {
    const arrivals = play({hosts: 7, seed, wanted: 60, limitAt}, 40_000);
    const knownAt = 20_000 + KNOWN_MS;
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

void test('a runner that named 0 is found to take requests again, also where most hosts have no calls', () => {
  const limitAt = (now: number) => (now < 30_000 ? 0 : undefined);
  for (const hosts of [1, 7]) {
    const idle = (host: number) => host !== hosts - 1;
    const options = {hosts, seed: 7, wanted: 60, limitAt, idle};
    const arrivals = play(options, 120_000);
    assert.ok(countBetween(arrivals, 5_000, 30_000) <= 5);
    assert.ok(countBetween(arrivals, 110_000, 120_000) > 50);
  }
});

void test('a runner in need is not sent the calls of a window at once', () => {
  const limitAt = () => 6;
  const arrivals = play({hosts: 4, seed: 11, wanted: 100, limitAt}, 40_000);
  const later = arrivals.filter(({at}) => at > 5_000);
  const most = Math.max(
    ...later.map(({at}) => countBetween(later, at, at + 1_000)),
  );
  // Twice what it takes in a second.
  assert.ok(most <= 12, `${most} in a second`);
});
