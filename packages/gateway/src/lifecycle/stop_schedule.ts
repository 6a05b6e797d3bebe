import type {Clock} from '@bayspool/kernel';

interface Options {
  readonly clock: Clock;
  /** How long an event may have waited that this process handles now, in ms: an upper bound. */
  readonly lateMs: () => number;
}

/** Margin before the end of the grace period, in ms, for the last responses to reach their callers. */
const FINAL_RESPONSE_MARGIN_MS = 700;
/** Time before the end of the grace period at which the process ends, whatever is open, in ms: the last log lines are written then. */
const EXIT_MARGIN_MS = 400;
/** Time for the last responses where the process is late, in ms. */
const MIN_RESPONSE_TIME_MS = 100;
/** Part of the grace period that open calls have however late the process is. */
const MIN_CALL_SHARE = 5 / 6;
/** Time for which the load balancer still sends new connections, in ms: two health checks a second apart, plus slack. */
const BALANCER_REACTION_MS = 2_300;
/** Part of a short grace period for which callers are still expected, at most. */
const MAX_NOTICE_SHARE = 3 / 8;
/** Delays of the event loop that pass until open calls are aborted and the last lines are written. */
const LATE_TURNS = 2;

/** The times of a host's shutdown, on its clock. */
export class StopSchedule {
  private startedAt = Infinity;
  private graceMs = Infinity;
  private signalLateMs = 0;
  /** Latest time until which a call that was begun was promised to have time. */
  private promisedUntil = -Infinity;

  constructor(private readonly options: Options) {}

  /** Whether the host was told to stop. */
  get hasStarted(): boolean {
    return this.startedAt !== Infinity;
  }

  /** When the host was told to stop; Infinity if it was not. */
  get startAt(): number {
    return this.startedAt;
  }

  /** How long the signal may have waited, in ms. */
  get startLateMs(): number {
    return this.signalLateMs;
  }

  /** Time from the signal for which callers may still be sent here, in ms. */
  get noticeMs(): number {
    return Math.min(BALANCER_REACTION_MS, this.graceMs * MAX_NOTICE_SHARE);
  }

  /** Whether callers have had time to turn to other hosts, counted from when the signal may have come. */
  get haveCallersTurned(): boolean {
    const signalAt = this.startedAt - this.signalLateMs;
    return this.options.clock.now() >= signalAt + this.noticeMs;
  }

  /**
   * When open calls are aborted; Infinity if the host does not stop. Earlier where the process is short of the processor,
   * though not before the time that calls begun in the stop were promised, unless it would be killed by then.
   */
  get abortAt(): number {
    if (!this.hasStarted) return Infinity;
    const earliest = this.startedAt + this.graceMs * MIN_CALL_SHARE;
    const lateMs = this.signalLateMs + LATE_TURNS * this.options.lateMs();
    const killedAt = this.startedAt + this.graceMs;
    const lastWorkAt = killedAt - lateMs - MIN_RESPONSE_TIME_MS;
    const promisedUntil = Math.min(this.promisedUntil, lastWorkAt);
    return Math.min(
      this.latestAbortAt,
      Math.max(earliest, this.latestAbortAt - lateMs, promisedUntil),
    );
  }

  /** When the process ends, whatever is open; Infinity if the host does not stop. */
  get exitAt(): number {
    const exitAt = this.startedAt + this.graceMs - EXIT_MARGIN_MS;
    return Math.max(
      this.abortAt + MIN_RESPONSE_TIME_MS,
      exitAt - this.signalLateMs,
    );
  }

  /**
   * Time in which a call that is begun now has to end, in ms; Infinity if the host does not stop. Open calls may have
   * longer: where the signal waited, the process may be killed before they are aborted.
   */
  get leftMs(): number {
    return this.sureEndAt - this.options.clock.now();
  }

  /** When open calls are aborted by a process that is not late. */
  private get latestAbortAt(): number {
    return this.startedAt + this.graceMs - FINAL_RESPONSE_MARGIN_MS;
  }

  /**
   * Until when the process surely runs, with time for the last responses. The delay of the signal is also one of the event
   * loop for a moment, and counts once.
   */
  private get sureEndAt(): number {
    const turnsLateMs = LATE_TURNS * this.options.lateMs();
    const lateMs = Math.max(this.signalLateMs, turnsLateMs);
    return this.latestAbortAt - lateMs;
  }

  /** Time from the start of the shutdown to a time on the clock, in ms; undefined if that was before. */
  computeStoppingMs(at: number): number | undefined {
    return at < this.startedAt ? undefined : at - this.startedAt;
  }

  /** Leaves a call that is begun now this time, in ms, as long as the process still ends before it is killed. */
  promise(needMs: number): void {
    const until = this.options.clock.now() + needMs;
    this.promisedUntil = Math.max(this.promisedUntil, until);
  }

  /** Begins the shutdown, for which there is this much time from the signal on, in ms. */
  start(graceMs: number): void {
    this.startedAt = this.options.clock.now();
    this.graceMs = graceMs;
    this.signalLateMs = this.options.lateMs();
  }
}
