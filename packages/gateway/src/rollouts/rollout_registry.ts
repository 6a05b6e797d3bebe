import {hashToFraction, RolloutPhase} from '@bayspool/decisions/calls';
import type {
  ExposureBounds,
  RolloutOrder,
  RolloutState,
  SessionVersions,
} from '@bayspool/decisions/calls';
import type {Clock} from '@bayspool/kernel';
import type {WireReader} from '../beliefs/wire_reader.js';
import type {EventLog} from '../observability/event_log.js';
import type {KeyedRecord} from '../records/keyed_record.js';
import type {Refusals} from '../records/refusals.js';
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
  readonly reader: WireReader;
  readonly sessions: SessionVersions;
  /** Whether this host heard of the store a short time ago, itself or through others. */
  readonly isConnected: () => boolean;
  readonly refusals: Refusals;
  /** What hosts noted in the store when an order was first seen. */
  readonly startRecords: RolloutStartRecords;
  /** How much of a service's calls a new version may get until the limit of its roll-out. */
  readonly exposureBounds?: () => ExposureBounds;
  /** Hosts that live, this one included. */
  readonly hostCount?: () => number;
}

/** A call that needs a version. */
interface VersionQuery {
  readonly service: string;
  /** Names the call; decides where it has no session. */
  readonly key: string;
  readonly session?: string;
  /** The versions that answered earlier attempts with a failure, one for each such answer. */
  readonly failedVersions: readonly string[];
  /** Whether a version has a runner that the call was not sent to yet. */
  readonly hasUntriedRunner: (version: string) => boolean;
}

/** What decides on the version of a call. */
type VersionCriteria = Omit<VersionQuery, 'service'> &
  Pick<VersionPreference, 'remembered'>;

/** Reasons for which a call gets the new version; for all others it gets the old one. */
const NEW_VERSION_REASONS: ReadonlySet<VersionReason> = new Set([
  VersionReason.ALL_CALLS,
  VersionReason.SESSION_ON_NEW,
  VersionReason.IN_SHARE,
]);

/** The roll-outs that are ordered, and which version each call gets. */
export class RolloutRegistry {
  private readonly rollouts = new Map<string, Rollout>();
  /** Whether this host had a copy of the orders before the newest one came. */
  private hasLoadedOrders = false;

  constructor(private readonly options: Options) {
    options.orders.onUpdate(({changed, isReload}) => {
      changed.forEach(record => this.applyOrder(record, isReload));
      this.hasLoadedOrders = true;
    });
    options.states.onUpdate(({changed}) => changed.forEach(r => this.state(r)));
    options.startRecords.onChange(() => this.applyStartRecords());
  }

  /** The newest roll-out of a service. */
  get(service: string): Rollout | undefined {
    return this.rollouts.get(service);
  }

  /** Whether this host can tell each call its version: it knows how old each active roll-out is. */
  get areAgesKnown(): boolean {
    return this.all().every(
      ({phase, isAgeKnown}) => isAgeKnown || phase !== RolloutPhase.ACTIVE,
    );
  }

  /** The newest roll-out of each service. */
  all(): Rollout[] {
    return [...this.rollouts.values()];
  }

  /** What the store says of a roll-out, as this host knows it. */
  findState(rollout: Rollout): RolloutState | undefined {
    return this.options.states
      .live()
      .map(record => this.readState(record))
      .find(state => state !== undefined && isStateFor(state, rollout));
  }

  /**
   * Which version a call of a service gets: a pure function of session, roll-out and time since the
   * order, so that hosts agree whichever of them a session reaches. What a host remembers of sessions only
   * keeps on the new version those that it put there.
   */
  getVersionPreference({service, ...call}: VersionQuery): VersionPreference {
    const remembered = this.getRememberedVersion(call.session);
    const rollout = this.rollouts.get(service);
    if (!rollout) return {reason: VersionReason.NO_ROLLOUT, remembered};
    const {version} = rollout.order;
    const reason = this.chooseReason(rollout, {...call, remembered});
    const isNew = NEW_VERSION_REASONS.has(reason);
    const wish = isNew ? {preferred: version} : {avoided: version};
    return {...wish, reason, remembered};
  }

  /** Takes over what other hosts told, summed over them. */
  applyRemoteDigests(digests: Readonly<Record<string, RolloutDigest>>): void {
    for (const [service, digest] of Object.entries(digests)) {
      const rollout = this.rollouts.get(service);
      if (!rollout || rollout.order.offset !== digest.offset) continue;
      rollout.applyRemoteDigest(digest);
    }
  }

  private getRememberedVersion(
    session: string | undefined,
  ): string | undefined {
    if (session === undefined) return undefined;
    return this.options.sessions.get(session);
  }

  private chooseReason(
    rollout: Rollout,
    question: VersionCriteria,
  ): VersionReason {
    const {key, session, remembered} = question;
    const {phase} = rollout;
    const {version, offset} = rollout.order;
    if (rollout.isRolledBack) return VersionReason.ROLLED_BACK;
    if (phase === RolloutPhase.COMPLETE) return VersionReason.ALL_CALLS;
    if (shouldLeaveNewVersion(rollout, question))
      return VersionReason.FAILED_ON_NEW;
    if (remembered === version) return VersionReason.SESSION_ON_NEW;
    if (!this.options.isConnected()) return chooseDisconnectedReason(rollout);
    const share = rollout.shareOf({hasSession: session !== undefined});
    const isInShare = hashToFraction(`${offset}|${session ?? key}`) < share;
    if (!isInShare) return VersionReason.OUTSIDE_SHARE;
    if (session === undefined && !rollout.isUnderExposureLimit)
      return VersionReason.OVER_EXPOSURE_LIMIT;
    return share === 1 ? VersionReason.ALL_CALLS : VersionReason.IN_SHARE;
  }

  private applyOrder(record: KeyedRecord, isReload: boolean): void {
    const {reader, startRecords: starts, states} = this.options;
    const order = this.tryRead(Topic.OPERATOR, record, () =>
      reader.readOrder(record),
    );
    if (!order) return;
    const known = this.rollouts.get(order.service);
    if (known && known.order.offset >= order.offset) return;
    // An order that was not in the copy before is new: a time of day could only mislead.
    const elapsedMs = this.hasLoadedOrders
      ? 0
      : starts.estimateElapsedMs(order);
    const statesFrom = this.statesFrom(order, known, isReload);
    const rollout = new Rollout({
      ...this.options,
      order,
      elapsedMs,
      isSeen: this.hasLoadedOrders,
      statesFrom,
      exposureBounds: this.options.exposureBounds?.(),
    });
    this.rollouts.set(order.service, rollout);
    this.logOrder(order, elapsedMs);
    for (const state of states.live()) this.state(state);
  }

  /** Position from which states are about an order, as far as this host can tell when it arrives. */
  private statesFrom(
    order: RolloutOrder,
    last: Rollout | undefined,
    isReload: boolean,
  ): number {
    const {startRecords: starts, states} = this.options;
    // What stands there when the order arrives is about an earlier one; at the start of this host the
    // order may be old, and only a note tells.
    const seenBefore = isReload ? 0 : states.next;
    return Math.max(
      starts.statesFrom(order) ?? seenBefore,
      // This host may have written the end of the last one, and not read it yet.
      last?.offsetAfterEnd ?? 0,
    );
  }

  /** Notes may come later than the orders and states that they explain. */
  private applyStartRecords(): void {
    for (const rollout of this.rollouts.values()) {
      const {order, phase} = rollout;
      // Only a host that did not see the order arrive, and was not told by one that did, goes by the note.
      const elapsedMs = this.options.startRecords.estimateElapsedMs(order);
      rollout.applyWallClockElapsed(elapsedMs);
      const statesFrom = this.options.startRecords.statesFrom(order);
      if (statesFrom === undefined || statesFrom <= rollout.statesFrom)
        continue;
      rollout.statesFrom = statesFrom;
      if (phase === RolloutPhase.ACTIVE || this.findState(rollout)) continue;
      rollout.phase = RolloutPhase.ACTIVE;
      this.logPhase(rollout);
    }
  }

  private state(record: KeyedRecord): void {
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
    return this.tryRead(Topic.STATUS, record, () => reader.readState(record));
  }

  private tryRead<T>(
    topic: Topic,
    record: KeyedRecord,
    action: () => T,
  ): T | undefined {
    try {
      return action();
    } catch (error) {
      this.options.refusals.note(topic, record, error);
      return undefined;
    }
  }
}

/**
 * Whether a call that failed on the watched version goes on with the old one. A call of a session stays while the
 * failure can be its runner's alone: the session would see the two versions by turns. Of 200 sessions, three
 * that one of two sound runners of a good version failed went back to the old version before, none do now.
 */
function shouldLeaveNewVersion(
  rollout: Rollout,
  {session, failedVersions, hasUntriedRunner: hasUntried}: VersionCriteria,
): boolean {
  const {version} = rollout.order;
  const failures = failedVersions.filter(failed => failed === version).length;
  if (failures === 0) return false;
  if (session === undefined || failures > 1) return true;
  return rollout.isSuspect || !hasUntried(version);
}

/** A host that hears nothing takes a roll-out whose time is over for complete: the old runners are gone by then. */
function chooseDisconnectedReason({elapsedMs, order}: Rollout): VersionReason {
  const isOver = elapsedMs >= order.durationMs;
  return isOver ? VersionReason.ALL_CALLS : VersionReason.HOST_DISCONNECTED;
}

/** States of an earlier roll-out to the same version stand before the note of this one's start. */
function isStateFor(state: RolloutState, rollout: Rollout): boolean {
  const {order, statesFrom} = rollout;
  // Versions of different services bear the same names.
  if (state.service !== order.service) return false;
  return state.version === order.version && state.offset >= statesFrom;
}
