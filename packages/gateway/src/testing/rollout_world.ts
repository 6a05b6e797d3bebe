import {RolloutPhase, chooseCanaryRunners} from '@bayspool/decisions/calls';
import type {RolloutState} from '@bayspool/decisions/calls';
import {SeededRandom, VirtualClock} from '@bayspool/kernel';
import {computeEventIntervalMs} from '../calls/compute_event_interval_ms.js';
import {Topic} from '../records/topic.js';
import type {Rollout} from '../rollouts/rollout.js';
import type {RolloutDigest} from '../rollouts/rollout_digest.js';
import {mergeRolloutDigests} from '../rollouts/merge_rollout_digests.js';
import {MemoryRecordStore} from './memory_record_store.js';
import {RolloutWorldHost} from './rollout_world_host.js';
import {SoundVersion} from './sound_version.js';
import type {VersionModel} from './version_model.js';

interface Options {
  readonly seed: number;
  /** Calls of the service in a second, at all hosts. */
  readonly callsPerSecond: number;
  /** Time from the order to its limit, in ms. */
  readonly durationMs: number;
  /** How the new version answers. */
  readonly version: VersionModel;
  readonly hosts?: number;
  /** Whether calls belong to sessions. */
  readonly hasSessions?: boolean;
  /** How many times the usual rate calls come at, by time since the order in ms. */
  readonly surge?: (elapsedMs: number) => number;
}

/** A call on its way. */
interface Call {
  readonly id: string;
  readonly route: string;
  readonly session?: string;
  readonly failedVersions: readonly string[];
}

/** A runner, as far as its load matters. */
interface WorldRunner {
  readonly id: string;
  readonly slots: number;
  totalRunning: number;
}

/** What was last seen of a session. */
interface SessionMemory {
  readonly host: number;
  readonly version: string;
  readonly at: number;
}

const SERVICE = 'svc';
const OLD = 'v1';
const NEW = 'v2';
/** Hosts of a small installation. */
const HOSTS = 7;
/** Runners of each version, and calls that one of them runs at once. */
const RUNNERS = 8;
const SLOTS = 8;
/** Calls before the order, in ms: hosts know the old version by then. */
const LEAD_MS = 4_000;
/** Routes, each as often as it stands here. */
const ROUTES = ['long', 'long', 'short', 'short', 'chat'];
/** Pause between two rounds in which hosts tell each other what they have and saw, in ms. */
const EXCHANGE_MS = 500;
/** Age of what a host is told, in ms: two hand-overs between places. */
const TOLD_AGE_MS = 400;
/** Time after which a caller takes an answer for lost, in ms. */
const CALLER_PATIENCE_MS = 8_000;
/** Share of calls that go on with a session of the last seconds. */
const GOES_ON_SHARE = 0.6;
/** Time in which a session goes on, in ms. */
const SESSION_MS = 5_000;
/** Bad answers of a version after which no call may reach it later than the time to take it back. */
const MAX_BAD = 50;
const TAKE_BACK_MS = 5_000;
const MS_PER_SECOND = 1_000;

/** A roll-out at several hosts in one process, on a virtual clock: calls, answers, news, restarts. */
export class RolloutWorld {
  readonly clock = new VirtualClock();
  readonly store = new MemoryRecordStore();
  /** Calls that reached the service between the order and its limit, and those of them at the new version. */
  readonly got = {all: 0, fresh: 0};
  /** Answers of the new version that failed or were slow. */
  badAnswers = 0;
  /** Calls at the new version later than it had to be taken back. */
  lateCalls = 0;
  /** Calls of sessions that went back to the old version, and that went to the new one in the first half. */
  readonly moved = {back: 0, early: 0};
  private readonly hosts: RolloutWorldHost[] = [];
  private readonly random: SeededRandom;
  private readonly old = new SoundVersion();
  private readonly seen = new Map<string, SessionMemory>();
  private readonly runners = {
    fresh: createRunners(NEW),
    old: createRunners(OLD),
  };
  private orderedAt = Infinity;
  private takeBackBy = Infinity;
  private calls = 0;

  constructor(private readonly options: Options) {
    this.random = new SeededRandom(options.seed);
    for (let i = 0; i < (options.hosts ?? HOSTS); i++) this.startHost(i);
  }

  /** Phases that stand in the store, in order. */
  get phases(): RolloutPhase[] {
    return this.store
      .records(Topic.STATUS)
      .map(({value}) => (JSON.parse(value ?? '{}') as RolloutState).phase);
  }

  /** Time since the order, in ms; negative before it. */
  get elapsedMs(): number {
    return this.clock.now() - this.orderedAt;
  }

  /** Plays calls before the order, and then up to its time limit. */
  async play(): Promise<void> {
    const {durationMs} = this.options;
    this.call();
    this.exchange();
    await this.clock.advanceSettled(LEAD_MS);
    this.order();
    await this.clock.advanceSettled(durationMs);
  }

  /** Goes on for a time after the limit. */
  async goOn(forMs: number): Promise<void> {
    await this.clock.advanceSettled(forMs);
  }

  /** Does something to the hosts at a time after the order. */
  at(elapsedMs: number, action: () => void): void {
    this.clock.after(LEAD_MS + elapsedMs, action);
  }

  /** Kills a host; another one of its name starts at once, and knows what is in the store. */
  restart(index: number): void {
    this.hosts[index].kill();
    this.startHost(index);
  }

  /** Cuts hosts off from the store and from the others, or ends that. */
  cutOff(indexes: readonly number[], isCutOff: boolean): void {
    for (const index of indexes) this.hosts[index].isCutOff = isCutOff;
  }

  private startHost(index: number): void {
    const host = new RolloutWorldHost({
      clock: this.clock,
      name: `host-${index}`,
      service: SERVICE,
      store: this.store,
      living: () =>
        this.hosts.filter(({isCutOff}) => !isCutOff).map(({name}) => name),
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

  /** Hosts tell each other what they have and saw; those that are cut off neither tell nor hear. */
  private exchange(): void {
    const told = this.hosts.map(({isCutOff, digest}) =>
      isCutOff ? undefined : digest,
    );
    this.clock.after(TOLD_AGE_MS, () => this.hear(told));
    this.clock.after(EXCHANGE_MS, () => this.exchange());
  }

  private hear(told: ReadonlyArray<RolloutDigest | undefined>): void {
    this.hosts.forEach((host, index) => {
      const others = told
        .filter((digest, i) => i !== index && digest)
        .map(digest => digest!);
      if (host.isCutOff || others.length === 0) return;
      host.book.applyRemoteDigests({
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
    this.clock.after(this.drawPauseMs(), () => this.call());
  }

  private drawPauseMs(): number {
    const {callsPerSecond, surge} = this.options;
    const times = surge?.(this.elapsedMs) ?? 1;
    const meanMs = MS_PER_SECOND / (callsPerSecond * times);
    return -Math.log(1 - this.random.next()) * meanMs;
  }

  private drawSession(): string {
    const since = this.clock.now() - SESSION_MS;
    const going = [...this.seen].filter(([, {at}]) => at >= since);
    if (going.length > 0 && this.random.next() < GOES_ON_SHARE)
      return going[this.random.below(going.length)][0];
    return `session-${this.calls}`;
  }

  /** A session keeps its host, as its caller keeps its connection. */
  private hostOf(session: string | undefined): number {
    const known = session === undefined ? undefined : this.seen.get(session);
    return known?.host ?? this.random.below(this.hosts.length);
  }

  private send(index: number, call: Call): void {
    const host = this.hosts[index];
    const {id, route, session, failedVersions} = call;
    const {preferred} = host.book.getVersionPreference({
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
    if (elapsedMs >= 0 && elapsedMs < durationMs && !this.hosts[index].isCutOff)
      this.countGot(version);
    if (version === NEW && this.clock.now() > this.takeBackBy)
      this.lateCalls += 1;
    if (session !== undefined) this.noteMove(index, session, version);
  }

  private countGot(version: string): void {
    this.got.all += 1;
    if (version === NEW) this.got.fresh += 1;
  }

  private noteMove(index: number, session: string, version: string): void {
    const at = this.clock.now();
    const before = this.seen.get(session);
    this.seen.set(session, {host: index, version, at});
    if (!before || at - before.at >= SESSION_MS) return;
    if (before.version === version) return;
    if (version === OLD) this.moved.back += 1;
    else if (this.elapsedMs < this.options.durationMs / 2)
      this.moved.early += 1;
  }

  private run(index: number, call: Call, version: string, route: string): void {
    const isFresh = version === NEW;
    const model = isFresh ? this.options.version : this.old;
    const host = this.hosts[index];
    const {rollout} = host;
    const runner = this.choose(isFresh, rollout?.isInCanaryPhase ?? false);
    runner.totalRunning += 1;
    if (!isFresh) host.oldRunning += 1;
    const {elapsedMs, random} = this;
    const running = runner.totalRunning;
    const answer = model.answer({route, running, elapsedMs, random});
    const isActive = rollout?.phase === RolloutPhase.ACTIVE;
    if (isActive) rollout.evidence.recordSent(isFresh);
    const forMs = Math.min(answer.forMs, CALLER_PATIENCE_MS);
    const {firstMs, events} = answer;
    const endWatch = this.watch(rollout, route, isFresh, firstMs);
    this.clock.after(forMs, () => {
      endWatch();
      runner.totalRunning -= 1;
      if (!isFresh) host.oldRunning -= 1;
      const isEnded = answer.forMs > CALLER_PATIENCE_MS;
      const eventMs = computeEventIntervalMs(forMs, firstMs, events);
      if (isActive && !isEnded)
        rollout.evidence.recordEnded(route, isFresh, answer.hasFailed, {
          firstMs,
          eventMs,
          expectedMs: 0,
        });
      if (isFresh) this.noteAnswer(answer, isEnded);
      if (answer.hasFailed) this.repeat(index, call, version);
    });
  }

  /** Lets the evidence know how long an answer has been awaited. */
  private watch(
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

  /** The runner with the fewest calls, of those among which a call may choose. */
  private choose(isFresh: boolean, isWatched: boolean): WorldRunner {
    const {fresh, old} = this.runners;
    const all = isFresh ? fresh : old;
    const some = isFresh && isWatched ? chooseCanaryRunners({fresh, old}) : all;
    return some.reduce((a, b) => (b.totalRunning < a.totalRunning ? b : a));
  }

  private noteAnswer(
    {hasFailed, firstMs}: ReturnType<VersionModel['answer']>,
    isEnded: boolean,
  ): void {
    const isSlow = firstMs > MS_PER_SECOND;
    if (!hasFailed && !isSlow && !isEnded) return;
    this.badAnswers += 1;
    if (this.badAnswers === MAX_BAD)
      this.takeBackBy = this.clock.now() + TAKE_BACK_MS;
  }

  private repeat(index: number, call: Call, version: string): void {
    if (call.failedVersions.length > 0) return;
    this.send(index, {...call, failedVersions: [version]});
  }
}

function createRunners(version: string): WorldRunner[] {
  return Array.from({length: RUNNERS}, (_, i) => ({
    id: `${version}-${i}`,
    slots: SLOTS,
    totalRunning: 0,
  }));
}
