import {sleep} from '@bayspool/kernel';
import type {Clock, Timer} from '@bayspool/kernel';
import type {CallServer} from '../calls/call_server.js';
import {AbortReason} from '../calls/abort_reason.js';
import type {EventLog} from '../observability/event_log.js';
import type {StopAdmission} from './stop_admission.js';
import type {StopSchedule} from './stop_schedule.js';

interface Options {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly callServers: readonly CallServer[];
  readonly schedule: StopSchedule;
  readonly stopAdmission: StopAdmission;
  /** Settles when the start is over that may be under way. */
  readonly startup: () => Promise<void>;
  /** Grace period until the process is killed, in ms. */
  readonly graceMs: () => number;
}

/** Interval between two checks whether all calls have ended, in ms. */
const POLL_INTERVAL_MS = 50;

/** Shuts a host down: it reports not ready immediately, then closes quiet connections, then finishes running calls. */
export class GracefulShutdown {
  private isClosingConnections = false;
  private reviewTimer: Timer | undefined;

  constructor(private readonly options: Options) {}

  /** Whether shutdown has started: the host is not ready, and connections are closed after their responses. */
  get hasStarted(): boolean {
    return this.options.schedule.hasStarted;
  }

  /** Whether new connections are no longer accepted: callers have had time to turn to other hosts. */
  get isClosing(): boolean {
    return this.isClosingConnections;
  }

  /** Number of calls that have no complete response yet. */
  get openCalls(): number {
    return this.sum(({openCalls}) => openCalls);
  }

  /** Resolves when no call is open any more and none is on its way, or shortly before the grace period ends. */
  async run(reason: string): Promise<void> {
    const {clock, log, callServers, schedule, stopAdmission} = this.options;
    const graceMs = this.options.graceMs();
    const unclosedBefore = this.sum(server => server.unclosedConnections);
    schedule.start(graceMs);
    log.write('process_stopping', {
      reason,
      open: this.openCalls,
      graceMs,
      lateMs: Math.round(schedule.startLateMs),
    });
    this.reviewRepeatedly();
    await this.options.startup();
    // Nobody can have sent anything to a host that was stopped before it listened.
    if (callServers.some(({isListening}) => isListening))
      await sleep(clock, schedule.noticeMs);
    this.isClosingConnections = true;
    await Promise.all(
      callServers.map(server => server.stopListening(() => schedule.abortAt)),
    );
    let closed = await this.closeQuiet();
    while (this.mayReceiveRequests && clock.now() < schedule.abortAt) {
      await sleep(clock, POLL_INTERVAL_MS);
      closed += await this.closeQuiet();
    }
    this.reviewTimer?.cancel();
    const incomplete = this.sum(server => server.incompleteRequests);
    const cut = this.sum(server => server.abortAll(AbortReason.HOST_SHUTDOWN));
    await this.waitForResponses(schedule.exitAt);
    const forMs = Math.round(clock.now() - schedule.startAt);
    const unsent = this.openCalls;
    const refused = stopAdmission.refusedCount;
    const acceptedLate = this.sum(server => server.acceptedLate);
    const isBacklogLeft = callServers.some(server => server.isBacklogLeft);
    const unused = this.sum(server => server.unusedConnections);
    log.write('process_stopped', {
      reason,
      refused,
      cut,
      unsent,
      closed,
      unclosed: this.sum(server => server.unclosedConnections) - unclosedBefore,
      incomplete,
      acceptedLate,
      isBacklogLeft,
      unused,
      forMs,
    });
  }

  /** Refuses calls that wait, once they would not end any more. */
  private reviewRepeatedly(): void {
    const {clock, schedule, stopAdmission} = this.options;
    if (clock.now() >= schedule.abortAt) return;
    stopAdmission.review();
    this.reviewTimer = clock.after(POLL_INTERVAL_MS, () =>
      this.reviewRepeatedly(),
    );
  }

  /** Whether a call is open, or a request may be on its way. */
  private get mayReceiveRequests(): boolean {
    const {callServers} = this.options;
    return (
      this.openCalls > 0 ||
      callServers.some(({hasActiveConnections}) => hasActiveConnections)
    );
  }

  /** Closes connections that are idle and quiet. @returns how many there were */
  private async closeQuiet(): Promise<number> {
    const {callServers} = this.options;
    const counts = await Promise.all(
      callServers.map(server => server.closeQuiet()),
    );
    return counts.reduce((sum, count) => sum + count, 0);
  }

  private sum(count: (server: CallServer) => number): number {
    return this.options.callServers.reduce(
      (sum, server) => sum + count(server),
      0,
    );
  }

  /** Waits until the last responses, also those of aborted calls, have left this process, and callers have closed their connections. */
  private async waitForResponses(until: number): Promise<void> {
    const {clock, callServers} = this.options;
    const isWaiting = () =>
      this.openCalls > 0 ||
      callServers.some(server => server.hasLingeringConnections);
    // Not a moment longer: a request that comes now would be begun, and no longer be aborted in time.
    while (isWaiting() && clock.now() < until)
      await sleep(clock, POLL_INTERVAL_MS);
  }
}
