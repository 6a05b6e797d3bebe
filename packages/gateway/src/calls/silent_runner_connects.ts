import type {Clock} from '@bayspool/kernel';
import {ListenerState} from '../runners/listener_state.js';
import type {Runner} from '../runners/runner.js';
import {MIN_SILENT_MS} from './min_silent_ms.js';
import type {WatchedRunner} from './watched_runner.js';

interface Options {
  readonly clock: Clock;
  /** Finds out by one connect whether a process listens at an address. */
  readonly checkListener: (address: string) => Promise<ListenerState>;
  /** All runners known now. */
  readonly runners: () => readonly Runner[];
  /** Called when a connect was refused. */
  readonly onRefused: (watched: WatchedRunner) => void;
  /** Called when a runner whose entry went has not replied to several connects. */
  readonly onUnanswered: (watched: WatchedRunner) => void;
}

/** Longest silence after a run that ended until its runner is asked by a connect, in ms. */
const MAX_CONNECT_DELAY_MS = 1_000;
/** Connects of this host that may be under way. */
const MAX_CONNECTS = 8;
/** Connects in a row without a reply after which a runner whose entry went has ended. */
const UNANSWERED_TO_END = 2;

/** Asks silent runners by connects whether they are still there. */
export class SilentRunnerConnects {
  /** Number of connects that are under way. */
  private underWay = 0;
  private isStopped = false;

  constructor(private readonly options: Options) {}

  /** Starts a connect to a runner if one is due now. */
  startIfDue(watched: WatchedRunner): void {
    if (this.isDue(watched, this.options.clock.now()))
      void this.connect(watched);
  }

  /** Ignores the results of the connects that are under way. */
  stop(): void {
    this.isStopped = true;
  }

  private isDue(watched: WatchedRunner, now: number): boolean {
    const {runner, connects, isSuspected, active} = watched;
    if (!connects.isDue(now) || this.underWay >= MAX_CONNECTS) return false;
    if (watched.end && active.size === 0) return false;
    if (watched.silentMs(now) < MIN_SILENT_MS) return false;
    if (isSuspected || watched.isQuiet) return true;
    if (watched.removedAt !== undefined) return true;
    const {unheardSince} = watched;
    if (unheardSince === undefined) return false;
    const delayMs = Math.min(MAX_CONNECT_DELAY_MS, runner.toleratedSilenceMs);
    return now - unheardSince >= delayMs;
  }

  private async connect(watched: WatchedRunner): Promise<void> {
    const {clock, checkListener, onRefused} = this.options;
    const {connects, runner} = watched;
    connects.recordStarted();
    this.underWay += 1;
    const startedAt = clock.now();
    const state = await checkListener(runner.entry.address);
    this.underWay -= 1;
    connects.recordEnded(clock.now());
    if (this.isStopped || watched.heardAt >= startedAt) return;
    if (state === ListenerState.REFUSED) onRefused(watched);
    else if (state === ListenerState.LISTENING)
      connects.recordAccepted(clock.now());
    else this.applyUnanswered(watched);
  }

  /** No reply is weak evidence: it counts only with the entry gone as well, and while other runners of the place are heard of. */
  private applyUnanswered(watched: WatchedRunner): void {
    const {removedAt, runner, connects} = watched;
    if (removedAt === undefined) return;
    connects.recordUnanswered();
    if (connects.unansweredCount < UNANSWERED_TO_END) return;
    const isPlaceHeard = this.options
      .runners()
      .some(
        ({entry, heardAt}) =>
          entry.place === runner.entry.place && heardAt > removedAt,
      );
    if (isPlaceHeard) this.options.onUnanswered(watched);
  }
}
