import {rankByHash, RolloutPhase} from '@bayspool/decisions/calls';
import type {Clock, Timer} from '@bayspool/kernel';
import type {WireReader} from '../beliefs/wire_reader.js';
import type {EventLog} from '../observability/event_log.js';
import type {RecordStore} from '../records/record_store.js';
import {Topic} from '../records/topic.js';
import type {TopicMirror} from '../records/topic_mirror.js';
import {logRolloutCounts} from './log_rollout_counts.js';
import type {RolloutRegistry} from './rollout_registry.js';
import type {Rollout} from './rollout.js';

interface Options {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly rollouts: RolloutRegistry;
  readonly states: TopicMirror;
  readonly store: RecordStore;
  readonly reader: WireReader;
  readonly host: string;
  /** Hosts that are taken to live, this one included. */
  readonly liveHosts: () => readonly string[];
  /** Requests of this host that run on other versions than the roll-out's. */
  readonly oldRunning: (rollout: Rollout) => number;
  /** Notes in the store when a roll-out began. */
  readonly recordStart: (rollout: Rollout) => Promise<void>;
}

/** Pause between two looks at what is to be written, in ms. */
const ACTIVE_INTERVAL_MS = 200;
/** The same while no roll-out is active: each look wakes an idle process. */
const IDLE_INTERVAL_MS = 500;
/** Least pause between two lines of what was given to the versions of a roll-out, in ms. */
const COUNTS_LOG_INTERVAL_MS = 1_000;
/** How long each next host waits for the one before it to write, in ms. */
const TAKEOVER_DELAY_MS = 900;
/** Pause after a failed write, in ms. */
const RETRY_DELAY_MS = 500;

/** Judges roll-outs, and tells the store their phases: one host writes, the others stand by. */
export class RolloutController {
  private timer: Timer | undefined;
  private readonly phaseDueSince = new Map<Rollout, number>();
  private readonly countsLoggedAt = new Map<Rollout, number>();
  private readonly announced = new Set<Rollout>();
  private isWriting = false;

  constructor(private readonly options: Options) {}

  /** Starts to write the states of roll-outs where it is for this host to do. */
  start(): void {
    const {rollouts: book, clock} = this.options;
    const isActive = book
      .all()
      .some(({phase}) => phase === RolloutPhase.ACTIVE);
    this.timer = clock.after(
      isActive ? ACTIVE_INTERVAL_MS : IDLE_INTERVAL_MS,
      () => {
        for (const rollout of book.all()) this.reconcile(rollout);
        this.start();
      },
    );
  }

  /** Stops writing. */
  stop(): void {
    this.timer?.cancel();
  }

  private reconcile(rollout: Rollout): void {
    rollout.judge();
    if (rollout.phase !== RolloutPhase.ACTIVE) return;
    this.logCounts(rollout);
    // What is due meanwhile, of this roll-out or another one, is looked at again after the pause.
    if (this.isWriting) return;
    // A start that is noted by a host that does not know the age would mislead all that restart later.
    if (!rollout.isAgeKnown) return;
    if (!this.announced.has(rollout) && this.rankOwnHost(rollout) === 0) {
      void this.writeExclusively(() => this.announceStart(rollout));
      return;
    }
    const phase = this.findDuePhase(rollout);
    if (!phase) {
      this.phaseDueSince.delete(rollout);
      return;
    }
    const now = this.options.clock.now();
    const since = this.phaseDueSince.get(rollout) ?? now;
    this.phaseDueSince.set(rollout, since);
    if (now - since < this.rankOwnHost(rollout) * TAKEOVER_DELAY_MS) return;
    void this.writeExclusively(() => this.write(rollout, phase));
  }

  private logCounts(rollout: Rollout): void {
    const {clock, log} = this.options;
    const countedAt = this.countsLoggedAt.get(rollout) ?? -Infinity;
    if (clock.now() - countedAt < COUNTS_LOG_INTERVAL_MS) return;
    this.countsLoggedAt.set(rollout, clock.now());
    logRolloutCounts(log, rollout);
  }

  private findDuePhase(rollout: Rollout): RolloutPhase | undefined {
    if (rollout.isBad) return RolloutPhase.REVERTED;
    const oldRunning =
      this.options.oldRunning(rollout) +
      (rollout.remoteDigest?.oldRunning ?? 0);
    return rollout.mayComplete(oldRunning) ? RolloutPhase.COMPLETE : undefined;
  }

  private rankOwnHost(rollout: Rollout): number {
    const {liveHosts: hosts, host} = this.options;
    const {service, offset} = rollout.order;
    return rankByHash(`${service}|${offset}`, hosts()).indexOf(host);
  }

  /**
   * Writes while no other write of this host is under way. Without it, the end of a roll-out went before its
   * announcement if it came within a write of it, and of two roll-outs ordered at once one was never announced.
   */
  private async writeExclusively(write: () => Promise<void>): Promise<void> {
    this.isWriting = true;
    try {
      await write();
    } finally {
      this.isWriting = false;
    }
  }

  private async announceStart(rollout: Rollout): Promise<void> {
    this.announced.add(rollout);
    if (this.options.rollouts.findState(rollout)) return;
    try {
      await this.options.recordStart(rollout);
    } catch (error) {
      // Only a hint for hosts that restart: without it they count from when they learn of the order.
      this.options.log.write('unexpected', {
        where: 'start of a roll-out',
        message: String(error),
      });
    }
    await this.write(rollout, RolloutPhase.ACTIVE);
  }

  private async write(rollout: Rollout, phase: RolloutPhase): Promise<void> {
    const {log, store, reader} = this.options;
    const {service, version} = rollout.order;
    try {
      const isOpen = await this.reloadStates(rollout);
      if (!isOpen) return;
      // Another host announced it a moment ago.
      if (
        phase === RolloutPhase.ACTIVE &&
        this.options.rollouts.findState(rollout)
      )
        return;
      const {key, value} = reader.writeState({service, version, phase});
      const expectedEnd = this.options.states.next;
      await store.append({topic: Topic.STATUS, key, value, expectedEnd});
      log.write('rollout_written', {service, version, phase});
      if (phase !== RolloutPhase.ACTIVE) rollout.markEnded(phase, expectedEnd);
    } catch (error) {
      const reason = String(error);
      log.write('rollout_write_failed', {service, version, phase, reason});
      this.phaseDueSince.set(
        rollout,
        this.options.clock.now() + RETRY_DELAY_MS,
      );
    }
  }

  /** Reads the states anew, so that a phase once final is never replaced. */
  private async reloadStates(rollout: Rollout): Promise<boolean> {
    const {clock, store, states} = this.options;
    const asOf = clock.now();
    states.load(await store.readNewest(Topic.STATUS), asOf);
    return rollout.phase === RolloutPhase.ACTIVE;
  }
}
