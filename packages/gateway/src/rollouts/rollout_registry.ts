import {hashToFraction, RolloutPhase} from '@bayspool/decisions/calls';
import type {
  ExposureBounds,
  RolloutOrder,
  RolloutState,
  SessionVersions,
} from '@bayspool/decisions/calls';
import type {Clock} from '@bayspool/kernel';
import type {RecordReader} from '../discovery/record_reader.js';
import type {EventLog} from '../observability/event_log.js';
import type {KeyedRecord} from '../records/keyed_record.js';
import type {RefusedEntryReporter} from '../records/refused_entry_reporter.js';
import {Topic} from '../records/topic.js';
import type {TopicMirror} from '../records/topic_mirror.js';
import type {RolloutDigest} from './rollout_digest.js';
import {Rollout} from './rollout.js';
import type {RolloutStartRecords} from './rollout_start_records.js';
import {VersionReason} from './version_reason.js';
import type {VersionPreference} from './version_preference.js';

interface Options {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly orders: TopicMirror;
  readonly states: TopicMirror;
  readonly reader: RecordReader;
  readonly sessions: SessionVersions;
  /** Whether this host recently received data of the store, directly or through other hosts. */
  readonly isConnected: () => boolean;
  readonly refusedEntries: RefusedEntryReporter;
  /** The start records, which hosts write when an order is first seen. */
  readonly startRecords: RolloutStartRecords;
  /** Returns how many of a service's calls a new version may get until the deadline of its rollout. */
  readonly exposureBounds?: () => ExposureBounds;
  /** Returns the number of hosts that share the bounds; undefined if this host does not know. */
  readonly sharerCount?: () => number | undefined;
  /** Returns how many retries of a service's calls this host may still send. */
  readonly retriesLeft: (service: string) => number;
}

/** A call that is to be sent to a version. */
interface VersionQuery {
  readonly service: string;
  /** Identifies the call; hashed in place of the session if it has none. */
  readonly key: string;
  readonly session?: string;
  /** The versions of the earlier attempts that failed, one entry per failed attempt. */
  readonly failedVersions: readonly string[];
  /** Whether a version has a healthy runner to which the call may be sent and has not been sent yet. */
  readonly hasUntriedRunner: (version: string) => boolean;
}

/** The inputs from which the version of a call is chosen. */
type VersionCriteria = Omit<VersionQuery, 'service'> &
  Pick<VersionPreference, 'remembered'>;

/** Retries after which a call that fails on the new version has reached the old one: see {@link shouldLeaveNewVersion}. */
const RETRIES_TO_OLD_VERSION = 2;

/**
 * Interval at which a session is sent to a version that has only failed although retries are short, in ms: without it a
 * good version whose first attempts failed would get no further ones where the call rate earns too few retries.
 */
const PROBE_INTERVAL_MS = 1_000;

/** Reasons that send a call to the new version; all others send it to the old one. */
const NEW_VERSION_REASONS: ReadonlySet<VersionReason> = new Set([
  VersionReason.ALL_CALLS,
  VersionReason.SESSION_ON_NEW,
  VersionReason.IN_SHARE,
]);

/** Keeps the newest rollout of each service, and decides which version each call goes to. */
export class RolloutRegistry {
  private readonly rollouts = new Map<string, Rollout>();
  /** Since when sessions wait for the first answer of the new version, or when one was last sent to it nevertheless. */
  private readonly waitingSince = new WeakMap<Rollout, number>();
  /** Whether this host has loaded the orders, so that any further order is new. */
  private hasLoadedOrders = false;
  /** Offset after the states that existed when this host started; undefined until they are loaded. */
  private firstStatesNext: number | undefined;

  constructor(private readonly options: Options) {
    options.orders.onUpdate(({changed, isReload}) => {
      changed.forEach(record => this.applyOrder(record, isReload));
      this.hasLoadedOrders = true;
    });
    options.states.onUpdate(({changed}) => {
      this.firstStatesNext ??= options.states.next;
      changed.forEach(r => this.applyState(r));
    });
    options.startRecords.onChange(() => this.applyStartRecords());
  }

  /** Returns the newest rollout of a service. */
  get(service: string): Rollout | undefined {
    return this.rollouts.get(service);
  }

  /** Whether this host knows the age of each active rollout, and so can choose the version of every call. */
  get areAgesKnown(): boolean {
    return this.all().every(
      ({phase, isAgeKnown}) => isAgeKnown || phase !== RolloutPhase.ACTIVE,
    );
  }

  /** Returns the newest rollout of each service. */
  all(): Rollout[] {
    return [...this.rollouts.values()];
  }

  /** Returns the state of a rollout from this host's copy of the store. */
  findState(rollout: Rollout): RolloutState | undefined {
    return this.options.states
      .listLive()
      .map(record => this.readState(record))
      .find(state => state !== undefined && isStateFor(state, rollout));
  }

  /**
   * Returns which version a call should go to. For a session this is a pure function of the session, the rollout and the time
   * since the order, so that hosts agree whichever of them the session reaches. The sessions that a host remembers only keep
   * those on the new version that it put there itself.
   */
  getVersionPreference({service, ...call}: VersionQuery): VersionPreference {
    const remembered = this.getRememberedVersion(call.session);
    const rollout = this.rollouts.get(service);
    if (!rollout) return {reason: VersionReason.NO_ROLLOUT, remembered};
    const {version} = rollout.order;
    const reason = this.chooseReason(rollout, {...call, remembered});
    const isNew = NEW_VERSION_REASONS.has(reason);
    const preference = isNew ? {preferred: version} : {avoided: version};
    return {...preference, reason, remembered};
  }

  /** Applies the sum of the digests of the other hosts, by service. */
  applyRemoteDigests(digests: Readonly<Record<string, RolloutDigest>>): void {
    for (const [rollout, digest] of this.matchDigests(digests))
      rollout.applyRemoteDigest(digest);
  }

  /** Merges the ages and share steps that another host reports, by service; its counts may include this host's own. */
  mergeSchedules(digests: Readonly<Record<string, RolloutDigest>>): void {
    for (const [rollout, digest] of this.matchDigests(digests))
      rollout.mergeSchedule(digest);
  }

  /** Returns the digests that are for a rollout that this host knows, with that rollout. */
  private matchDigests(
    digests: Readonly<Record<string, RolloutDigest>>,
  ): Array<readonly [Rollout, RolloutDigest]> {
    return Object.entries(digests).flatMap(([service, digest]) => {
      const rollout = this.rollouts.get(service);
      const isMatch = rollout?.order.offset === digest.offset;
      return rollout && isMatch ? [[rollout, digest] as const] : [];
    });
  }

  private getRememberedVersion(
    session: string | undefined,
  ): string | undefined {
    if (session === undefined) return undefined;
    return this.options.sessions.get(session);
  }

  private chooseReason(
    rollout: Rollout,
    criteria: VersionCriteria,
  ): VersionReason {
    const {key, session, remembered} = criteria;
    const {phase} = rollout;
    const {version, offset} = rollout.order;
    if (rollout.isRolledBack) return VersionReason.ROLLED_BACK;
    if (phase === RolloutPhase.COMPLETE) return VersionReason.ALL_CALLS;
    if (shouldLeaveNewVersion(rollout, criteria))
      return VersionReason.FAILED_ON_NEW;
    if (remembered === version) return VersionReason.SESSION_ON_NEW;
    if (!this.options.isConnected()) return chooseDisconnectedReason(rollout);
    const share = rollout.shareOf({hasSession: session !== undefined});
    const isInShare = hashToFraction(`${offset}|${session ?? key}`) < share;
    if (!isInShare) return VersionReason.OUTSIDE_SHARE;
    if (session === undefined && !rollout.isUnderExposureLimit)
      return VersionReason.OVER_EXPOSURE_LIMIT;
    if (share === 1) return VersionReason.ALL_CALLS;
    return session !== undefined && this.mustWaitForAnswer(rollout)
      ? VersionReason.NO_ANSWER_YET
      : VersionReason.IN_SHARE;
  }

  /**
   * Whether a session waits on the old version because the new one has only failed, and this host may not have the retries
   * to answer the call from the old version then. No session moves back by this as far as this host knows: the new version has
   * answered none.
   */
  private mustWaitForAnswer(rollout: Rollout): boolean {
    const {service} = rollout.order;
    if (this.options.retriesLeft(service) >= RETRIES_TO_OLD_VERSION)
      return false;
    if (!rollout.hasOnlyFailed) return false;
    const now = this.options.clock.now();
    const since = this.waitingSince.get(rollout);
    if (since !== undefined && now - since < PROBE_INTERVAL_MS) return true;
    this.waitingSince.set(rollout, now);
    return since === undefined;
  }

  private applyOrder(record: KeyedRecord, isReload: boolean): void {
    const {reader, startRecords, states} = this.options;
    const order = this.tryRead(Topic.OPERATOR, record, () =>
      reader.readRolloutOrder(record),
    );
    if (!order) return;
    const previous = this.rollouts.get(order.service);
    if (previous && previous.order.offset >= order.offset) return;
    // An order that arrives after the first load is new; an age from the wall clock could only be wrong.
    const elapsedMs = this.hasLoadedOrders
      ? 0
      : startRecords.estimateElapsedMs(order);
    const statesFrom = this.resolveStatesFrom(order, previous, isReload);
    const rollout: Rollout = new Rollout({
      ...this.options,
      order,
      wasAnnounced: () => this.wasAnnounced(rollout),
      elapsedMs,
      isSeen: this.hasLoadedOrders,
      statesFrom,
      exposureBounds: this.options.exposureBounds?.(),
    });
    this.rollouts.set(order.service, rollout);
    this.logOrder(order, elapsedMs);
    for (const state of states.listLive()) this.applyState(state);
  }

  /** Returns the offset from which states belong to an order, as far as this host knows when the order arrives. */
  private resolveStatesFrom(
    order: RolloutOrder,
    previous: Rollout | undefined,
    isReload: boolean,
  ): number {
    const {startRecords, states} = this.options;
    // States that exist when an order arrives belong to an earlier order. When this host loads the topic, the order may be
    // older than the states, and only a start record gives the offset.
    const seenBefore = isReload ? 0 : states.next;
    return Math.max(
      startRecords.findStatesFrom(order) ?? seenBefore,
      // This host may have written the end of the previous rollout without having read it back yet.
      previous?.offsetAfterEnd ?? 0,
    );
  }

  /** Applies start records, which may arrive after the orders and states that they belong to. */
  private applyStartRecords(): void {
    for (const rollout of this.rollouts.values()) {
      const {order, phase} = rollout;
      // Has an effect only if this host did not see the order arrive and no peer reported the age.
      const elapsedMs = this.options.startRecords.estimateElapsedMs(order);
      rollout.applyWallClockElapsed(elapsedMs);
      const statesFrom = this.options.startRecords.findStatesFrom(order);
      if (statesFrom === undefined || statesFrom <= rollout.statesFrom)
        continue;
      rollout.statesFrom = statesFrom;
      if (phase === RolloutPhase.ACTIVE || this.findState(rollout)) continue;
      rollout.phase = RolloutPhase.ACTIVE;
      this.logPhase(rollout);
    }
  }

  /** Whether a state of a rollout existed when this host started. */
  private wasAnnounced(rollout: Rollout): boolean {
    const state = this.findState(rollout);
    return state !== undefined && state.offset < (this.firstStatesNext ?? 0);
  }

  private applyState(record: KeyedRecord): void {
    const state = this.readState(record);
    if (!state) return;
    const rollout = this.rollouts.get(state.service);
    if (!rollout || !isStateFor(state, rollout)) return;
    if (rollout.phase !== RolloutPhase.ACTIVE) return;
    if (state.phase === RolloutPhase.ACTIVE) return;
    rollout.markEnded(state.phase, state.offset);
    this.logPhase(rollout);
  }

  private logOrder(order: RolloutOrder, elapsedMs: number): void {
    const {service, version, durationMs, offset} = order;
    this.options.log.write('rollout_ordered', {
      service,
      version,
      durationMs,
      elapsedMs,
      offset,
    });
  }

  private logPhase({order, phase}: Rollout): void {
    const {service, version} = order;
    this.options.log.write('rollout_phase', {service, version, phase});
  }

  private readState(record: KeyedRecord): RolloutState | undefined {
    const {reader} = this.options;
    return this.tryRead(Topic.STATUS, record, () =>
      reader.readRolloutState(record),
    );
  }

  private tryRead<T>(
    topic: Topic,
    record: KeyedRecord,
    action: () => T,
  ): T | undefined {
    try {
      return action();
    } catch (error) {
      this.options.refusedEntries.report(topic, record, error);
      return undefined;
    }
  }
}

/**
 * Whether a call that failed on the new version is retried on the old one. A call of a session stays on the new version while
 * the failure may be that of a single runner, so that the session doesn't alternate between versions. Of 200
 * sessions, three that got a failure from one of the two sound runners of a good version went back to the old version
 * without this rule, and none with it.
 */
function shouldLeaveNewVersion(
  rollout: Rollout,
  {session, failedVersions, hasUntriedRunner}: VersionCriteria,
): boolean {
  const {version} = rollout.order;
  const failures = failedVersions.filter(failed => failed === version).length;
  if (failures === 0) return false;
  if (session === undefined || failures > 1) return true;
  return rollout.isSuspect || !hasUntriedRunner(version);
}

/** A disconnected host treats a rollout past its deadline as complete, since the old runners are gone by then. */
function chooseDisconnectedReason({elapsedMs, order}: Rollout): VersionReason {
  const isOver = elapsedMs >= order.durationMs;
  return isOver ? VersionReason.ALL_CALLS : VersionReason.HOST_DISCONNECTED;
}

/** Whether a state belongs to a rollout; states of an earlier rollout to the same version have lower offsets. */
function isStateFor(state: RolloutState, rollout: Rollout): boolean {
  const {order, statesFrom} = rollout;
  // Different services may use the same version names.
  if (state.service !== order.service) return false;
  return state.version === order.version && state.offset >= statesFrom;
}
