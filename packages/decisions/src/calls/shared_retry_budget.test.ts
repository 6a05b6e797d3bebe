import assert from 'node:assert/strict';
import {test} from 'node:test';
import {SeededRandom, VirtualClock} from '@bayspool/kernel';
import {SharedRetryBudget} from './shared_retry_budget.js';
import {RetrySimulation} from './testing/retry_simulation.js';

/** What the users' deployments allow all hosts together. */
const BOUND = {ratio: 0.9, extra: 54, windowMs: 10_000};
const HOSTS = 7;
/** Requests a second at all hosts: few, so that retries besides the requests' own weigh most, and usual ones. */
const RATES = [1, 4, 10, 15, 30, 80];
/** Time until runners have failed a request, at most, in ms. */
const WORK_MS = [50, 3_000];
const MOST_CONNECT_MS = 400;
const TURNS = 20;

/** Something that goes wrong at hosts while their runners fail. */
type Trouble = (world: RetrySimulation, random: SeededRandom) => void;

const TROUBLES: Readonly<Record<string, Trouble>> = {
  'nothing else': world => world.run(1_000),
  'hosts start again in series': (world, random) => {
    world.run(random.next() * 600);
    world.restartHost(random.below(HOSTS));
  },
  'all hosts start again at once': (world, random) => {
    world.run(1_000 + random.next() * 9_000);
    for (let host = 0; host < HOSTS; host++) world.restartHost(host);
  },
  'all hosts start again three times in a row': (world, random) => {
    world.run(12_000);
    for (let time = 0; time < 3; time++) {
      for (let host = 0; host < HOSTS; host++) world.restartHost(host);
      world.run(1_500 + random.next() * 1_500);
    }
  },
  'all hosts start again, and know no other one at first': (world, random) => {
    for (let host = 0; host < HOSTS; host++) world.restartHost(host, 1);
    world.run(random.next() * 9_000);
    for (let host = 0; host < HOSTS; host++)
      world.setBelievedHosts(host, HOSTS);
    world.run(12_000);
  },
  'places are cut off from each other': (world, random) => {
    const places = [3, 3, 3, 2, 2, 2, 2];
    places.forEach((size, host) => world.setBelievedHosts(host, size));
    world.run(random.next() * 20_000);
    places.forEach((_, host) => world.setBelievedHosts(host, HOSTS));
    world.run(random.next() * 5_000);
  },
  'callers move from hosts to others and back': (world, random) => {
    world.run(random.next() * 8_000, [0, 1, 2]);
    world.run(random.next() * 8_000, [3, 4, 5, 6]);
  },
  'hosts stand still': (world, random) => {
    world.run(random.next() * 2_000);
    world.pauseHost(random.below(HOSTS), random.next() * 4_000);
  },
  'all hosts stand still together': (world, random) => {
    world.run(3_000 + random.next() * 8_000);
    const forMs = random.next() * 4_000;
    for (let host = 0; host < HOSTS; host++) world.pauseHost(host, forMs);
  },
};

void test('repeats stay within the ratio over the window, also with several hosts', () => {
  const clock = new VirtualClock();
  const options = {
    clock,
    startedAt: 0,
    ratio: () => 0.5,
    extra: () => 8,
    windowMs: 10_000,
  };
  const budgets = [1, 2].map(
    () => new SharedRetryBudget({...options, hosts: () => 2}),
  );
  let firsts = 0;
  let repeats = 0;
  for (let i = 0; i < 400; i++) {
    clock.advance(20);
    const budget = budgets[i % 2];
    budget.recordCall();
    firsts += 1;
    while (budget.reserve({hasPartialAnswer: false})?.spend()) repeats += 1;
  }
  assert.ok(repeats <= firsts * 0.5 + 8, `${repeats} of ${firsts}`);
  assert.ok(repeats > firsts * 0.4, `${repeats} of ${firsts}`);
  clock.advance(20_000);
  assert.ok(budgets[0].remaining <= 8);
});

/** The worst window of some seconds under a trouble, as text; undefined if none had too many retries. */
function findBroken(
  name: string,
  perSecond: number,
  mostWorkMs: number,
  seed: number,
): string | undefined {
  const random = new SeededRandom(seed);
  const load = {perSecond, mostWorkMs, mostConnectMs: MOST_CONNECT_MS};
  const options = {random, hosts: HOSTS, ...load};
  const world = new RetrySimulation({...options, bound: BOUND});
  // Hosts have run for a while when it begins.
  world.run(15_000);
  for (let turn = 0; turn < TURNS; turn++) TROUBLES[name](world, random);
  const excess = world.findExcess();
  if (!excess) return undefined;
  const {retries, allowed} = excess;
  return `${name}, ${perSecond} a second: ${retries} of ${allowed.toFixed(1)}`;
}

void test('all hosts together stay within the allowed retries, whatever they believe and however often they start', () => {
  const broken: string[] = [];
  let seed = 0;
  for (const name of Object.keys(TROUBLES))
    for (const perSecond of RATES)
      for (const mostWorkMs of WORK_MS) {
        const found = findBroken(name, perSecond, mostWorkMs, seed++);
        if (found !== undefined) broken.push(found);
      }
  assert.deepEqual(broken, []);
});

interface Lone {
  readonly clock: VirtualClock;
  /** Whether the host has run for a window when calls come. */
  readonly hasRun: boolean;
}

/** The budget of one of seven hosts. */
function createOne({clock, hasRun}: Lone): SharedRetryBudget {
  return new SharedRetryBudget({
    clock,
    startedAt: hasRun ? -BOUND.windowMs : 0,
    ratio: () => BOUND.ratio,
    extra: () => BOUND.extra,
    windowMs: BOUND.windowMs,
    hosts: () => HOSTS,
  });
}

/** Sends repeats as long as the budget lets them through. */
function spendAll(budget: SharedRetryBudget, hasBegun = false): number {
  let spent = 0;
  while (budget.reserve({hasPartialAnswer: hasBegun})?.spend()) spent += 1;
  return spent;
}

void test('what was spent counts for a whole window, at whatever time it was', () => {
  for (let atMs = 0; atMs < 1_000; atMs += 50) {
    const clock = new VirtualClock();
    clock.advance(atMs);
    const budget = createOne({clock, hasRun: true});
    assert.ok(spendAll(budget, true) > 0);
    clock.advance(BOUND.windowMs - 1);
    assert.equal(spendAll(budget, true), 0, `spent at ${atMs} ms`);
    clock.advance(500);
    assert.ok(spendAll(budget, true) > 0);
  }
});

for (const hasRun of [true, false])
  void test(`few calls that fail now and then are repeated, at a host that ${hasRun ? 'has run' : 'just started'}`, () => {
    const clock = new VirtualClock();
    const budget = createOne({clock, hasRun});
    for (let call = 0; call < 10; call++) {
      clock.advance(1_000);
      budget.recordCall();
      if (call % 3 > 0) continue;
      assert.ok(
        budget.reserve({hasPartialAnswer: false})?.spend(),
        `call ${call}`,
      );
    }
  });

void test('the first call of a host that just started is tried three times, and no more is let through', () => {
  const budget = createOne({clock: new VirtualClock(), hasRun: false});
  assert.equal(spendAll(budget), 0);
  budget.recordCall();
  assert.equal(spendAll(budget), 2);
});

void test('repeats that are about to be sent take their room, and give it back if they are not', () => {
  const budget = createOne({clock: new VirtualClock(), hasRun: false});
  budget.recordCall();
  const purpose = {hasPartialAnswer: false};
  const first = budget.reserve(purpose);
  const second = budget.reserve(purpose);
  assert.equal(budget.reserve(purpose), undefined);
  second?.release();
  second?.release();
  assert.equal(second?.spend(), false, 'it was given back');
  assert.ok(budget.reserve(purpose));
  assert.ok(first?.spend());
});
