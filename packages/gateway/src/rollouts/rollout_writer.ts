import {rankByHash, RolloutPhase} from '@bayspool/decisions/calls';
import type {Clock, Timer} from '@bayspool/kernel';
import type {WireReader} from '../beliefs/wire_reader.js';
import type {EventLog} from '../observability/event_log.js';
import type {RecordStore} from '../records/record_store.js';
import {Topic} from '../records/topic.js';
import type {TopicMirror} from '../records/topic_mirror.js';
import {logRolloutCounts} from './log_rollout_counts.js';
import type {RolloutBook} from './rollout_book.js';
import type {Rollout} from './rollout.js';

interface Options {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly book: RolloutBook;
  readonly states: TopicMirror;
  readonly store: RecordStore;
  readonly reader: WireReader;
  readonly host: string;
  /** Hosts that are taken to live, this one included. */
  readonly hosts: () => readonly string[];
  /** Requests of this host that run on other versions than the roll-out's. */
  readonly oldRunning: (rollout: Rollout) => number;
  /** Notes in the store when a roll-out began. */
  readonly noteStart: (rollout: Rollout) => Promise<void>;
}

/** Pause between two looks at what is to be written, in ms. */
const TICK_MS = 200;
/** The same while no roll-out is active: each look wakes an idle process. */
const IDLE_TICK_MS = 500;
/** Least pause between two lines of what was given to the versions of a roll-out, in ms. */
const COUNT_PAUSE_MS = 1_000;
/** How long each next host waits for the one before it to write, in ms. */
const TURN_MS = 900;
/** Pause after a failed write, in ms. */
const RETRY_MS = 500;

/** Judges roll-outs, and tells the store their phases: one host writes, the others stand by. */
export class RolloutWriter {
  private timer: Timer | undefined;
  private readonly dueSince = new Map<Rollout, number>();
  private readonly countedAt = new Map<Rollout, number>();
  private readonly announced = new Set<Rollout>();
  private isWriting = false;

  constructor(private readonly options: Options) {}

  /** Starts to write the states of roll-outs where it is for this host to do. */
  start(): void {
    const {book, clock} = this.options;
    const isActive = book
      .all()
      .some(({phase}) => phase === RolloutPhase.ACTIVE);
    this.timer = clock.after(isActive ? TICK_MS : IDLE_TICK_MS, () => {
      for (const rollout of book.all()) this.look(rollout);
      this.start();
    });
  }

  /** Stops writing. */
  stop(): void {
    this.timer?.cancel();
  }

  private look(rollout: Rollout): void {
    rollout.judge();
    if (rollout.phase !== RolloutPhase.ACTIVE) return;
    this.logCounts(rollout);
    // What is due meanwhile, of this roll-out or another one, is looked at again after the pause.
    if (this.isWriting) return;
    // A start that is noted by a host that does not know the age would mislead all that restart later.
    if (!rollout.isAgeKnown) return;
    if (!this.announced.has(rollout) && this.turnOf(rollout) === 0) {
      void this.writeAlone(() => this.announce(rollout));
      return;
    }
    const phase = this.duePhase(rollout);
    if (!phase) {
      this.dueSince.delete(rollout);
      return;
    }
    const now = this.options.clock.now();
    const since = this.dueSince.get(rollout) ?? now;
    this.dueSince.set(rollout, since);
    if (now - since < this.turnOf(rollout) * TURN_MS) return;
    void this.writeAlone(() => this.write(rollout, phase));
  }

  private logCounts(rollout: Rollout): void {
    const {clock, log} = this.options;
    const countedAt = this.countedAt.get(rollout) ?? -Infinity;
    if (clock.now() - countedAt < COUNT_PAUSE_MS) return;
    this.countedAt.set(rollout, clock.now());
    logRolloutCounts(log, rollout);
  }

  private duePhase(rollout: Rollout): RolloutPhase | undefined {
    if (rollout.isBad) return RolloutPhase.REVERTED;
    const oldRunning =
      this.options.oldRunning(rollout) + (rollout.remote?.oldRunning ?? 0);
    return rollout.mayComplete(oldRunning) ? RolloutPhase.COMPLETE : undefined;
  }

  private turnOf(rollout: Rollout): number {
    const {hosts, host} = this.options;
    const {service, offset} = rollout.order;
    return rankByHash(`${service}|${offset}`, hosts()).indexOf(host);
  }

  /**
   * Writes while no other write of this host is under way. Without it, the end of a roll-out went before its
   * announcement if it came within a write of it, and of two roll-outs ordered at once one was never announced.
   */
  private async writeAlone(write: () => Promise<void>): Promise<void> {
    this.isWriting = true;
    try {
      await write();
    } finally {
      this.isWriting = false;
    }
  }

  private async announce(rollout: Rollout): Promise<void> {
    this.announced.add(rollout);
    if (this.options.book.stateOf(rollout)) return;
    try {
      await this.options.noteStart(rollout);
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
      const isOpen = await this.refreshState(rollout);
      if (!isOpen) return;
      // Another host announced it a moment ago.
      if (phase === RolloutPhase.ACTIVE && this.options.book.stateOf(rollout))
        return;
      const {key, value} = reader.writeState({service, version, phase});
      const expectedEnd = this.options.states.next;
      await store.append({topic: Topic.STATUS, key, value, expectedEnd});
      log.write('rollout_written', {service, version, phase});
      if (phase !== RolloutPhase.ACTIVE) rollout.end(phase, expectedEnd);
    } catch (error) {
      const reason = String(error);
      log.write('rollout_write_failed', {service, version, phase, reason});
      this.dueSince.set(rollout, this.options.clock.now() + RETRY_MS);
    }
  }

  /** Reads the states anew, so that a phase once final is never replaced. */
  private async refreshState(rollout: Rollout): Promise<boolean> {
    const {clock, store, states} = this.options;
    const asOf = clock.now();
    states.load(await store.readNewest(Topic.STATUS), asOf);
    return rollout.phase === RolloutPhase.ACTIVE;
  }
}
