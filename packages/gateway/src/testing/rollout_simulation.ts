import {RolloutPhase, chooseCanaryRunners} from '@bayspool/decisions/calls';
import type {RolloutState} from '@bayspool/decisions/calls';
import {SeededRandom, VirtualClock} from '@bayspool/kernel';
import {computeEventIntervalMs} from '../calls/compute_event_interval_ms.js';
import {Topic} from '../records/topic.js';
import type {Rollout} from '../rollouts/rollout.js';
import type {RolloutDigest} from '../rollouts/rollout_digest.js';
import {mergeRolloutDigests} from '../rollouts/merge_rollout_digests.js';
import {MemoryRecordStore} from './memory_record_store.js';
import {SimulatedHost} from './simulated_host.js';
import {HealthyVersion} from './healthy_version.js';
import type {VersionModel} from './version_model.js';

interface Options {
  readonly seed: number;
  /** Calls per second of the service, over all hosts. */
  readonly callsPerSecond: number;
  /** Time from the order to its limit, in ms. */
  readonly durationMs: number;
  /** How the new version answers. */
  readonly version: VersionModel;
  /** How the old version answers; soundly if not given. */
  readonly old?: VersionModel;
  readonly hosts?: number;
  /** Whether calls belong to sessions. */
  readonly hasSessions?: boolean;
  /** Factor on the usual call rate, by time since the order in ms. */
  readonly surge?: (elapsedMs: number) => number;
  /** Share of the responses of both versions that never arrive, 0 to 1, by time since the order in ms. */
  readonly lostShare?: (elapsedMs: number) => number;
  /** The same for responses of both versions that are failures for a reason other than the version. */
  readonly failedShare?: (elapsedMs: number) => number;
}

/** A call in progress. */
interface Call {
  readonly id: string;
  readonly route: string;
  readonly session?: string;
  readonly failedVersions: readonly string[];
}

/** A runner, reduced to its load. */
interface SimulatedRunner {
  readonly id: string;
  readonly slots: number;
  totalRunning: number;
}

/** The last call of a session. */
interface SessionSighting {
  readonly host: number;
  readonly version: string;
  readonly at: number;
}

const SERVICE = 'svc';
const OLD = 'v1';
const NEW = 'v2';
/** Number of hosts of a small installation. */
const HOSTS = 7;
/** Runners of each version, and concurrent calls per runner. */
const RUNNERS = 8;
const SLOTS = 8;
/** Duration of the calls before the order, in ms: afterwards hosts have data on the old version. */
const WARM_UP_MS = 4_000;
/** Routes, weighted by how often they occur in the list. */
const ROUTES = ['long', 'long', 'short', 'short', 'chat'];
/** Interval between gossip rounds, in ms. */
const GOSSIP_INTERVAL_MS = 500;
/** Age of a digest on arrival, in ms: two hops between places. */
const GOSSIP_DELAY_MS = 400;
/** Time after which a caller considers a response lost, in ms. */
const CALLER_TIMEOUT_MS = 8_000;
/** Time after which a response that was lost counts as failed, in ms: its connection is reset. */
const LOST_AFTER_MS = 300;
/** Share of calls that continue a recent session. */
const CONTINUED_SHARE = 0.6;
/** Time after its last call in which a session can continue, in ms. */
const SESSION_MS = 5_000;
/** Number of bad answers after which a version must be rolled back, and the time allowed for that: later calls to it are faults. */
const MAX_BAD = 50;
const ROLLBACK_MS = 5_000;
const MS_PER_SECOND = 1_000;

/** Simulates a rollout over several hosts in one process on a virtual clock: calls, responses, gossip and restarts. */
export class RolloutSimulation {
  readonly clock = new VirtualClock();
  readonly store = new MemoryRecordStore();
  /** Calls that reached the service between the order and its limit, and how many of them went to the new version. */
  readonly callCounts = {all: 0, fresh: 0};
  /** Answers of the new version that failed or were slow. */
  badAnswers = 0;
  /** Calls to the new version after the deadline for its rollback. */
  lateCalls = 0;
  /** Calls that moved a session back to the old version, and those that moved one to the new version in the first half. */
  readonly sessionMoves = {back: 0, early: 0};
  private readonly hosts: SimulatedHost[] = [];
  private readonly random: SeededRandom;
  private readonly old: VersionModel;
  private readonly sessionSightings = new Map<string, SessionSighting>();
  private readonly runners = {
    fresh: createRunners(NEW),
    old: createRunners(OLD),
  };
  private orderedAt = Infinity;
  /** When the store became unavailable; undefined while it is available. */
  private storeLostAt: number | undefined;
  private rollbackDeadline = Infinity;
  private calls = 0;

  constructor(private readonly options: Options) {
    this.random = new SeededRandom(options.seed);
    this.old = options.old ?? new HealthyVersion();
    for (let i = 0; i < (options.hosts ?? HOSTS); i++) this.startHost(i);
  }

  /** Rollout phases in the store, in order. */
  get phases(): RolloutPhase[] {
    return this.store
      .records(Topic.STATUS)
      .map(({value}) => (JSON.parse(value ?? '{}') as RolloutState).phase);
  }

  /** Time since the order, in ms; negative before it. */
  get elapsedMs(): number {
    return this.clock.now() - this.orderedAt;
  }

  /** Runs the calls before the order, then those up to its time limit. */
  async runToLimit(): Promise<void> {
    const {durationMs} = this.options;
    this.call();
    this.gossip();
    await this.clock.advanceSettled(WARM_UP_MS);
    this.order();
    await this.clock.advanceSettled(durationMs);
  }

  /** Continues the simulation past the limit. */
  async continueFor(forMs: number): Promise<void> {
    await this.clock.advanceSettled(forMs);
  }

  /** Schedules an action at a time after the order. */
  scheduleAt(elapsedMs: number, action: () => void): void {
    this.clock.after(WARM_UP_MS + elapsedMs, action);
  }

  /** Kills a host and starts another of the same name at once, which knows only what is in the store. */
  restart(index: number): void {
    this.hosts[index].kill();
    this.startHost(index);
  }

  /** Partitions hosts from the store and the other hosts, or ends the partition. */
  setPartitioned(indexes: readonly number[], isPartitioned: boolean): void {
    for (const index of indexes)
      this.hosts[index].isPartitioned = isPartitioned;
  }

  /** Makes the store unavailable to all hosts, or available again. Hosts go on with the records that they pass each other. */
  setStoreAvailable(isAvailable: boolean): void {
    this.storeLostAt = isAvailable ? undefined : this.clock.now();
  }

  private startHost(index: number): void {
    const host = new SimulatedHost({
      clock: this.clock,
      name: `host-${index}`,
      service: SERVICE,
      store: this.store,
      storeLostAt: () => this.storeLostAt,
      liveHosts: () =>
        this.hosts
          .filter(({isPartitioned}) => !isPartitioned)
          .map(({name}) => name),
    });
    this.hosts[index] = host;
    host.start();
  }

  private order(): void {
    const {durationMs} = this.options;
    const value = {service: SERVICE, version: NEW, durationMs};
    this.store.put(Topic.OPERATOR, `rollout/${SERVICE}`, value);
    this.orderedAt = this.clock.now();
  }

  /** Exchanges digests among hosts; partitioned hosts neither send nor receive. */
  private gossip(): void {
    const digests = this.hosts.map(({isPartitioned, digest}) =>
      isPartitioned ? undefined : digest,
    );
    this.clock.after(GOSSIP_DELAY_MS, () => this.applyDigests(digests));
    this.clock.after(GOSSIP_INTERVAL_MS, () => this.gossip());
  }

  private applyDigests(
    digests: ReadonlyArray<RolloutDigest | undefined>,
  ): void {
    this.hosts.forEach((host, index) => {
      const others = digests
        .filter((digest, i) => i !== index && digest)
        .map(digest => digest!);
      if (host.isPartitioned || others.length === 0) return;
      host.registry.applyRemoteDigests({
        [SERVICE]: others.reduce(mergeRolloutDigests),
      });
    });
  }

  private call(): void {
    this.calls += 1;
    const route = ROUTES[this.random.below(ROUTES.length)];
    const session = this.options.hasSessions ? this.drawSession() : undefined;
    const index = this.hostOf(session);
    this.send(index, {
      id: `call-${this.calls}`,
      route,
      session,
      failedVersions: [],
    });
    this.clock.after(this.drawIntervalMs(), () => this.call());
  }

  private drawIntervalMs(): number {
    const {callsPerSecond, surge} = this.options;
    const times = surge?.(this.elapsedMs) ?? 1;
    const meanMs = MS_PER_SECOND / (callsPerSecond * times);
    return -Math.log(1 - this.random.next()) * meanMs;
  }

  private drawSession(): string {
    const since = this.clock.now() - SESSION_MS;
    const activeSessions = [...this.sessionSightings].filter(
      ([, {at}]) => at >= since,
    );
    if (activeSessions.length > 0 && this.random.next() < CONTINUED_SHARE)
      return activeSessions[this.random.below(activeSessions.length)][0];
    return `session-${this.calls}`;
  }

  /** A session keeps its host, as its caller keeps its connection. */
  private hostOf(session: string | undefined): number {
    const known =
      session === undefined ? undefined : this.sessionSightings.get(session);
    return known?.host ?? this.random.below(this.hosts.length);
  }

  private send(index: number, call: Call): void {
    const host = this.hosts[index];
    const {id, route, session, failedVersions} = call;
    const {preferred} = host.registry.getVersionPreference({
      service: SERVICE,
      key: id,
      session,
      failedVersions,
      hasUntriedRunner: () => true,
    });
    const version = preferred ?? OLD;
    this.count(index, version, session);
    if (session !== undefined) host.sessions.set(session, version);
    this.run(index, call, version, route);
  }

  private count(
    index: number,
    version: string,
    session: string | undefined,
  ): void {
    const {durationMs} = this.options;
    const {elapsedMs} = this;
    if (
      elapsedMs >= 0 &&
      elapsedMs < durationMs &&
      !this.hosts[index].isPartitioned
    )
      this.countCall(version);
    if (version === NEW && this.clock.now() > this.rollbackDeadline)
      this.lateCalls += 1;
    if (session !== undefined) this.recordMove(index, session, version);
  }

  private countCall(version: string): void {
    this.callCounts.all += 1;
    if (version === NEW) this.callCounts.fresh += 1;
  }

  private recordMove(index: number, session: string, version: string): void {
    const at = this.clock.now();
    const before = this.sessionSightings.get(session);
    this.sessionSightings.set(session, {host: index, version, at});
    if (!before || at - before.at >= SESSION_MS) return;
    if (before.version === version) return;
    if (version === OLD) this.sessionMoves.back += 1;
    else if (this.elapsedMs < this.options.durationMs / 2)
      this.sessionMoves.early += 1;
  }

  private run(index: number, call: Call, version: string, route: string): void {
    const isFresh = version === NEW;
    const model = isFresh ? this.options.version : this.old;
    const host = this.hosts[index];
    const {rollout} = host;
    const runner = this.chooseRunner(
      isFresh,
      rollout?.isInCanaryPhase ?? false,
    );
    runner.totalRunning += 1;
    if (!isFresh) host.oldRunning += 1;
    const {elapsedMs, random} = this;
    const running = runner.totalRunning;
    const answer = model.answer({route, running, elapsedMs, random});
    const {lostShare, failedShare} = this.options;
    const isLost = this.drawIs(lostShare);
    const isFailedAlike = this.drawIs(failedShare);
    const isActive = rollout?.phase === RolloutPhase.ACTIVE;
    if (isActive) rollout.evidence.recordSent(isFresh);
    const forMs = isLost
      ? LOST_AFTER_MS
      : Math.min(answer.forMs, CALLER_TIMEOUT_MS);
    const {firstMs, events} = answer;
    const endTracking = this.trackAttempt(rollout, route, isFresh, firstMs);
    this.clock.after(forMs, () => {
      endTracking();
      runner.totalRunning -= 1;
      if (!isFresh) host.oldRunning -= 1;
      const hasTimedOut = !isLost && answer.forMs > CALLER_TIMEOUT_MS;
      const hasFailed = isLost || isFailedAlike || answer.hasFailed;
      const eventMs = computeEventIntervalMs(forMs, firstMs, events);
      if (isActive && !hasTimedOut)
        rollout.evidence.recordEnded(
          route,
          isFresh,
          hasFailed,
          {
            firstMs: isLost ? undefined : firstMs,
            eventMs: isLost ? undefined : eventMs,
            expectedMs: 0,
            isComparable: true,
          },
          isLost,
        );
      if (isFresh) this.recordAnswer(answer, hasTimedOut);
      if (hasFailed) this.retry(index, call, version);
    });
  }

  private drawIs(share?: (elapsedMs: number) => number): boolean {
    return share !== undefined && this.random.next() < share(this.elapsedMs);
  }

  /** Registers a pending attempt with the evidence, which reads how long it has waited. */
  private trackAttempt(
    rollout: Rollout | undefined,
    cellName: string,
    isFresh: boolean,
    firstMs: number,
  ): () => void {
    const sentAt = this.clock.now();
    const waitedMs = () => {
      const waited = this.clock.now() - sentAt;
      return waited < firstMs ? waited : undefined;
    };
    const attempt = {cellName, isFresh, waitedMs, expectedMs: 0};
    return rollout?.evidence.trackAttempt(attempt) ?? (() => undefined);
  }

  /** Chooses the least loaded runner among those that the call may use. */
  private chooseRunner(isFresh: boolean, isCanary: boolean): SimulatedRunner {
    const {fresh, old} = this.runners;
    const all = isFresh ? fresh : old;
    const candidates =
      isFresh && isCanary ? chooseCanaryRunners({fresh, old}) : all;
    return candidates.reduce((a, b) =>
      b.totalRunning < a.totalRunning ? b : a,
    );
  }

  private recordAnswer(
    {hasFailed, firstMs}: ReturnType<VersionModel['answer']>,
    hasTimedOut: boolean,
  ): void {
    const isSlow = firstMs > MS_PER_SECOND;
    if (!hasFailed && !isSlow && !hasTimedOut) return;
    this.badAnswers += 1;
    if (this.badAnswers === MAX_BAD)
      this.rollbackDeadline = this.clock.now() + ROLLBACK_MS;
  }

  private retry(index: number, call: Call, version: string): void {
    if (call.failedVersions.length > 0) return;
    this.send(index, {...call, failedVersions: [version]});
  }
}

function createRunners(version: string): SimulatedRunner[] {
  return Array.from({length: RUNNERS}, (_, i) => ({
    id: `${version}-${i}`,
    slots: SLOTS,
    totalRunning: 0,
  }));
}
