import {rankByHash, RolloutPhase} from '@bayspool/decisions/calls';
import type {Clock, Timer} from '@bayspool/kernel';
import type {RecordReader} from '../discovery/record_reader.js';
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
  readonly reader: RecordReader;
  readonly host: string;
  /** Returns the names of the hosts considered live, including this one. */
  readonly listLiveHosts: () => readonly string[];
  /** Returns the number of this host's requests that run on versions other than the rollout's. */
  readonly countOldRunning: (rollout: Rollout) => number;
  /** Writes the start record of a rollout to the store. */
  readonly recordStart: (rollout: Rollout) => Promise<void>;
}

/** Interval between two reconciliations while a rollout is active, in ms. */
const ACTIVE_INTERVAL_MS = 200;
/** The same while no rollout is active, in ms; longer, since each one wakes an idle process. */
const IDLE_INTERVAL_MS = 500;
/** Minimum interval between two log entries with the counts of a rollout, in ms. */
const COUNTS_LOG_INTERVAL_MS = 1_000;
/** How long each host waits for the host ranked before it to write, in ms. */
const TAKEOVER_DELAY_MS = 900;
/** Delay before a failed write is retried, in ms. */
const RETRY_DELAY_MS = 500;

/** Evaluates rollouts and writes their phases to the store; one host writes, the others stand by to take over. */
export class RolloutController {
  private timer: Timer | undefined;
  private readonly phaseDueSince = new Map<Rollout, number>();
  private readonly countsLoggedAt = new Map<Rollout, number>();
  private readonly announced = new Set<Rollout>();
  private isWriting = false;

  constructor(private readonly options: Options) {}

  /** Starts the periodic reconciliation of all rollouts. */
  start(): void {
    const {rollouts, clock} = this.options;
    const isActive = rollouts
      .all()
      .some(({phase}) => phase === RolloutPhase.ACTIVE);
    this.timer = clock.after(
      isActive ? ACTIVE_INTERVAL_MS : IDLE_INTERVAL_MS,
      () => {
        for (const rollout of rollouts.all()) this.reconcile(rollout);
        this.start();
      },
    );
  }

  /** Stops the periodic reconciliation. */
  stop(): void {
    this.timer?.cancel();
  }

  private reconcile(rollout: Rollout): void {
    rollout.evaluate();
    if (rollout.phase !== RolloutPhase.ACTIVE) return;
    this.logCounts(rollout);
    // Writes of this or another rollout that become due meanwhile wait for the next reconciliation.
    if (this.isWriting) return;
    // A start record written by a host that does not know the age would be wrong for all hosts that restart later.
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
    const dueSince = this.phaseDueSince.get(rollout) ?? now;
    this.phaseDueSince.set(rollout, dueSince);
    if (now - dueSince < this.rankOwnHost(rollout) * TAKEOVER_DELAY_MS) return;
    void this.writeExclusively(() => this.writePhase(rollout, phase));
  }

  private logCounts(rollout: Rollout): void {
    const {clock, log} = this.options;
    const loggedAt = this.countsLoggedAt.get(rollout) ?? -Infinity;
    if (clock.now() - loggedAt < COUNTS_LOG_INTERVAL_MS) return;
    this.countsLoggedAt.set(rollout, clock.now());
    logRolloutCounts(log, rollout);
  }

  private findDuePhase(rollout: Rollout): RolloutPhase | undefined {
    if (rollout.isBad || rollout.isUndecidedAtLimit)
      return RolloutPhase.REVERTED;
    const oldRunning =
      this.options.countOldRunning(rollout) +
      (rollout.remoteDigest?.oldRunning ?? 0);
    return rollout.canComplete(oldRunning) ? RolloutPhase.COMPLETE : undefined;
  }

  private rankOwnHost(rollout: Rollout): number {
    const {listLiveHosts, host} = this.options;
    const {service, offset} = rollout.order;
    return rankByHash(`${service}|${offset}`, listLiveHosts()).indexOf(host);
  }

  /**
   * Runs a write and blocks other writes of this host meanwhile. Without this, a rollout that ended while its announcement was
   * being written had its end written first, and of two rollouts ordered at once one was never announced.
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
      // The start record is optional: without it, hosts that restart count from when they learn of the order.
      this.options.log.write('store_write_failed', {
        entry: 'start of a rollout',
        reason: String(error),
      });
    }
    await this.writePhase(rollout, RolloutPhase.ACTIVE);
  }

  private async writePhase(
    rollout: Rollout,
    phase: RolloutPhase,
  ): Promise<void> {
    const {log, store, reader} = this.options;
    const {service, version} = rollout.order;
    try {
      const isStillActive = await this.reloadStates(rollout);
      if (!isStillActive) return;
      // Another host has announced the rollout in the meantime.
      if (
        phase === RolloutPhase.ACTIVE &&
        this.options.rollouts.findState(rollout)
      )
        return;
      const {key, value} = reader.writeRolloutState({service, version, phase});
      const expectedEnd = this.options.states.next;
      await store.append({topic: Topic.STATUS, key, value, expectedEnd});
      const isUndecided =
        phase === RolloutPhase.REVERTED && !rollout.isBad ? true : undefined;
      log.write('rollout_written', {service, version, phase, isUndecided});
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

  /** Reloads the states, so that a final phase is never overwritten; returns whether the rollout is still active. */
  private async reloadStates(rollout: Rollout): Promise<boolean> {
    const {clock, store, states} = this.options;
    const asOf = clock.now();
    states.load(await store.readNewest(Topic.STATUS), asOf);
    return rollout.phase === RolloutPhase.ACTIVE;
  }
}
