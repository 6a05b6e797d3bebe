import {PartQuarantine, Quarantine} from '@bayspool/decisions/calls';
import type {CallRoute} from '@bayspool/decisions/calls';
import {WorkEstimator} from '@bayspool/decisions/capacity';
import {SeededRandom, VirtualClock} from '@bayspool/kernel';
import {LatencyRecorder} from '../calls/latency_recorder.js';
import type {RunnerDirectory} from '../discovery/runner_directory.js';
import {RunnerLoadExchange} from '../host/runner_load_exchange.js';
import type {LoadDigest} from '../peers/load_digest.js';
import {mergeLoadDigests} from '../peers/merge_load_digests.js';
import {subtractLoadDigest} from '../peers/subtract_load_digest.js';
import type {RolloutRegistry} from '../rollouts/rollout_registry.js';
import type {ConnectionPool} from '../runners/connection_pool.js';
import {PrefillRates} from '../runners/prefill_rates.js';
import {PrefixCacheIndex} from '../runners/prefix_cache_index.js';
import {Runner} from '../runners/runner.js';
import {RunnerChooser} from '../runners/runner_chooser.js';

interface Scenario {
  readonly hosts: number;
  /** Share of the nominal capacity that calls ask for. */
  readonly load: number;
  /** Actual over nominal time of each runner at a time. */
  readonly slownessAt: (runner: number, atMs: number) => number;
  /** Time from the creation of a digest to its arrival, in ms. */
  readonly digestDelayMs?: number;
  /** When the first host is killed, in ms. */
  readonly killedAtMs?: number;
}

const RUNNERS = 3;
const SLOTS = 8;
const WORK_MS = 200;
const LATENCY_TARGET_MS = 400;
const DIGEST_INTERVAL_MS = 400;
const DIGEST_TTL_MS = 3_000;
/** Time in which hosts learn the usual work and speeds, and which is not measured. */
const WARM_UP_MS = 5_000;
const END_MS = 35_000;
/** Steps in which the speed of a runner is integrated, in ms. */
const STEP_MS = 5;

const route = {name: 'plain'} as CallRoute;
const pool = {hasCapacity: true} as unknown as ConnectionPool;

/** Creates a host with its own view of all runners. */
function createHost(index: number, hosts: number, clock: VirtualClock) {
  const runners = Array.from({length: RUNNERS}, (_, i) => {
    const entry = {
      id: `runner-${i}`,
      place: 'a',
      service: 'svc',
      address: '127.0.0.1:1',
      version: 'v1',
      slots: SLOTS,
      isDraining: false,
    };
    return new Runner({clock, entry, pool});
  });
  const rates = new PrefillRates();
  const work = new WorkEstimator();
  const prefixes = new PrefixCacheIndex({clock});
  const loads = new RunnerLoadExchange({
    clock,
    prefixes,
    directory: {all: () => runners} as unknown as RunnerDirectory,
    rollouts: {
      all: () => [],
      applyRemoteDigests: () => undefined,
    } as unknown as RolloutRegistry,
    quarantine: new Quarantine({clock}),
    partQuarantine: new PartQuarantine({clock}),
  });
  const chooser = new RunnerChooser({
    random: new SeededRandom(index + 1),
    rates,
    work,
    prefixes,
    place: 'a',
    hosts: () => hosts,
    isInSubset: () => true,
    lostPlaces: () => new Set(),
  });
  return {
    runners,
    chooser,
    loads,
    recorder: new LatencyRecorder({rates, work}),
  };
}

type Host = ReturnType<typeof createHost>;

/** A runner that does its requests in the order of arrival, as many at a time as it has slots. */
class Machine {
  private readonly freeAt = new Array<number>(SLOTS).fill(0);

  constructor(private readonly slownessAt: (atMs: number) => number) {}

  /** Returns when the work of a request that arrives now is done. */
  add(now: number, workMs: number): number {
    const slot = this.freeAt.indexOf(Math.min(...this.freeAt));
    let at = Math.max(now, this.freeAt[slot]);
    for (let left = workMs; left > 0; at += STEP_MS)
      left -= STEP_MS / this.slownessAt(at);
    this.freeAt[slot] = at;
    return at;
  }
}

/** Simulates hosts that share plain runners. @returns the share of the calls that were answered in time */
export function simulatePlacement({
  hosts: hostCount,
  load,
  slownessAt,
  digestDelayMs = 100,
  killedAtMs = Infinity,
}: Scenario): number {
  const clock = new VirtualClock();
  const random = new SeededRandom(11);
  const hosts = Array.from({length: hostCount}, (_, i) =>
    createHost(i, hostCount, clock),
  );
  const machines = Array.from(
    {length: RUNNERS},
    (_, i) => new Machine(at => slownessAt(i, at)),
  );
  const listLive = () => (clock.now() < killedAtMs ? hosts : hosts.slice(1));
  const digests = new Map<Host, {digest: LoadDigest; at: number}>();
  const exchangeDigests = () => {
    for (const host of listLive())
      digests.set(host, {digest: host.loads.createDigest(), at: clock.now()});
    const fresh = [...digests].filter(
      ([, {at}]) => clock.now() - at < DIGEST_TTL_MS,
    );
    const sum = mergeLoadDigests(fresh.map(([, {digest}]) => digest));
    const rests = listLive().map(host => ({
      host,
      rest: subtractLoadDigest(sum, digests.get(host)!.digest),
    }));
    clock.after(digestDelayMs, () => {
      for (const {host, rest} of rests) host.loads.applyPeerDigest(rest);
    });
    clock.after(DIGEST_INTERVAL_MS, exchangeDigests);
  };
  exchangeDigests();
  let inTime = 0;
  let calls = 0;
  const send = ({runners, chooser, recorder}: Host) => {
    const choice = chooser.choose({
      candidates: runners,
      tried: new Set(),
      bodyBytes: 0,
      route: route.name,
    })!;
    const {runner, held, expectation, waitMs} = choice;
    const sentAt = clock.now();
    runner.noteSent(0, held);
    const stopTracking = expectation && runner.speed.track(expectation);
    const latencyMs =
      machines[runners.indexOf(runner)].add(sentAt, WORK_MS) - sentAt;
    clock.after(latencyMs, () => {
      runner.noteBytes();
      runner.notePrefillDone(0);
      stopTracking?.();
      runner.noteEnded(latencyMs, held);
      recorder.record({route}, undefined, choice, {
        latencyMs,
        isUnloaded: waitMs === 0,
      });
    });
    if (sentAt < WARM_UP_MS) return;
    calls += 1;
    if (latencyMs <= LATENCY_TARGET_MS) inTime += 1;
  };
  const betweenMs = WORK_MS / (load * RUNNERS * SLOTS);
  while (clock.now() < END_MS) {
    clock.advance(-betweenMs * Math.log(1 - random.next()));
    const live = listLive();
    send(live[random.below(live.length)]);
  }
  return inTime / calls;
}
