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
import type {RolloutStarts} from './rollout_starts.js';
import {VersionReason} from './version_reason.js';
import type {VersionWish} from './version_wish.js';

interface Options {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly orders: TopicMirror;
  readonly states: TopicMirror;
  readonly reader: WireReader;
  readonly sessions: SessionVersions;
  /** Whether this host heard of the store a short time ago, itself or through others. */
  readonly isInTouch: () => boolean;
  readonly refusals: Refusals;
  /** What hosts noted in the store when an order was first seen. */
  readonly starts: RolloutStarts;
  /** How much of a service's calls a new version may get until the limit of its roll-out. */
  readonly exposureBounds?: () => ExposureBounds;
  /** Hosts that live, this one included. */
  readonly hosts?: () => number;
}

/** A call that needs a version. */
interface Wisher {
  readonly service: string;
  /** Names the call; decides where it has no session. */
  readonly key: string;
  readonly session?: string;
  /** The versions that answered earlier attempts with a failure, one for each such answer. */
  readonly failedVersions: readonly string[];
  /** Whether a version has a runner that the call was not sent to yet. */
  readonly hasUntried: (version: string) => boolean;
}

/** What decides on the version of a call. */
type VersionQuestion = Omit<Wisher, 'service'> &
  Pick<VersionWish, 'remembered'>;

/** Reasons for which a call gets the new version; for all others it gets the old one. */
const NEW_VERSION_REASONS: ReadonlySet<VersionReason> = new Set([
  VersionReason.WHOLE,
  VersionReason.SESSION_NEW,
  VersionReason.IN_SHARE,
]);

/** The roll-outs that are ordered, and which version each call gets. */
export class RolloutBook {
  private readonly rollouts = new Map<string, Rollout>();
  /** Whether this host had a copy of the orders before the newest one came. */
  private hadOrders = false;

  constructor(private readonly options: Options) {
    options.orders.onUpdate(({changed, isReload}) => {
      changed.forEach(record => this.order(record, isReload));
      this.hadOrders = true;
    });
    options.states.onUpdate(({changed}) => changed.forEach(r => this.state(r)));
    options.starts.onNoted(() => this.takeNotes());
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
  stateOf(rollout: Rollout): RolloutState | undefined {
    return this.options.states
      .live()
      .map(record => this.readState(record))
      .find(state => state !== undefined && isAbout(state, rollout));
  }

  /**
   * Which version a call of a service gets: a pure function of session, roll-out and time since the
   * order, so that hosts agree whichever of them a session reaches. What a host remembers of sessions only
   * keeps on the new version those that it put there.
   */
  wishFor({service, ...call}: Wisher): VersionWish {
    const remembered = this.rememberedOf(call.session);
    const rollout = this.rollouts.get(service);
    if (!rollout) return {reason: VersionReason.NONE, remembered};
    const {version} = rollout.order;
    const reason = this.reasonFor(rollout, {...call, remembered});
    const isNew = NEW_VERSION_REASONS.has(reason);
    const wish = isNew ? {only: version} : {not: version};
    return {...wish, reason, remembered};
  }

  /** Takes over what other hosts told, summed over them. */
  noteRemote(digests: Readonly<Record<string, RolloutDigest>>): void {
    for (const [service, digest] of Object.entries(digests)) {
      const rollout = this.rollouts.get(service);
      if (!rollout || rollout.order.offset !== digest.offset) continue;
      rollout.noteRemote(digest);
    }
  }

  private rememberedOf(session: string | undefined): string | undefined {
    if (session === undefined) return undefined;
    return this.options.sessions.get(session);
  }

  private reasonFor(
    rollout: Rollout,
    question: VersionQuestion,
  ): VersionReason {
    const {key, session, remembered} = question;
    const {phase} = rollout;
    const {version, offset} = rollout.order;
    if (rollout.isTakenBack) return VersionReason.TAKEN_BACK;
    if (phase === RolloutPhase.COMPLETE) return VersionReason.WHOLE;
    if (leavesNewVersion(rollout, question)) return VersionReason.FAILED_THERE;
    if (remembered === version) return VersionReason.SESSION_NEW;
    if (!this.options.isInTouch()) return outOfTouch(rollout);
    const share = rollout.shareOf({hasSession: session !== undefined});
    const isInShare = hashToFraction(`${offset}|${session ?? key}`) < share;
    if (!isInShare) return VersionReason.OUTSIDE_SHARE;
    if (session === undefined && !rollout.hasRoom) return VersionReason.NO_ROOM;
    return share === 1 ? VersionReason.WHOLE : VersionReason.IN_SHARE;
  }

  private order(record: KeyedRecord, isReload: boolean): void {
    const {reader, starts, states} = this.options;
    const order = this.read(Topic.OPERATOR, record, () =>
      reader.readOrder(record),
    );
    if (!order) return;
    const known = this.rollouts.get(order.service);
    if (known && known.order.offset >= order.offset) return;
    // An order that was not in the copy before is new: a time of day could only mislead.
    const elapsedMs = this.hadOrders ? 0 : starts.elapsedMs(order);
    const statesFrom = this.statesFrom(order, known, isReload);
    const rollout = new Rollout({
      ...this.options,
      order,
      elapsedMs,
      isSeen: this.hadOrders,
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
    const {starts, states} = this.options;
    // What stands there when the order arrives is about an earlier one; at the start of this host the
    // order may be old, and only a note tells.
    const seenBefore = isReload ? 0 : states.next;
    return Math.max(
      starts.statesFrom(order) ?? seenBefore,
      // This host may have written the end of the last one, and not read it yet.
      last?.endedAt ?? 0,
    );
  }

  /** Notes may come later than the orders and states that they explain. */
  private takeNotes(): void {
    for (const rollout of this.rollouts.values()) {
      const {order, phase} = rollout;
      // Only a host that did not see the order arrive, and was not told by one that did, goes by the note.
      const elapsedMs = this.options.starts.elapsedMs(order);
      rollout.guessElapsed(elapsedMs);
      const statesFrom = this.options.starts.statesFrom(order);
      if (statesFrom === undefined || statesFrom <= rollout.statesFrom)
        continue;
      rollout.statesFrom = statesFrom;
      if (phase === RolloutPhase.ACTIVE || this.stateOf(rollout)) continue;
      rollout.phase = RolloutPhase.ACTIVE;
      this.logPhase(rollout);
    }
  }

  private state(record: KeyedRecord): void {
    const state = this.readState(record);
    if (!state) return;
    const rollout = this.rollouts.get(state.service);
    if (!rollout || !isAbout(state, rollout)) return;
    if (rollout.phase !== RolloutPhase.ACTIVE) return;
    if (state.phase === RolloutPhase.ACTIVE) return;
    rollout.end(state.phase, state.offset);
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
    return this.read(Topic.STATUS, record, () => reader.readState(record));
  }

  private read<T>(
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
function leavesNewVersion(
  rollout: Rollout,
  {session, failedVersions, hasUntried}: VersionQuestion,
): boolean {
  const {version} = rollout.order;
  const failures = failedVersions.filter(failed => failed === version).length;
  if (failures === 0) return false;
  if (session === undefined || failures > 1) return true;
  return rollout.isSuspect || !hasUntried(version);
}

/** A host that hears nothing takes a roll-out whose time is over for complete: the old runners are gone by then. */
function outOfTouch({elapsedMs, order}: Rollout): VersionReason {
  const isOver = elapsedMs >= order.durationMs;
  return isOver ? VersionReason.WHOLE : VersionReason.OUT_OF_TOUCH;
}

/** States of an earlier roll-out to the same version stand before the note of this one's start. */
function isAbout(state: RolloutState, rollout: Rollout): boolean {
  const {order, statesFrom} = rollout;
  // Versions of different services bear the same names.
  if (state.service !== order.service) return false;
  return state.version === order.version && state.offset >= statesFrom;
}
