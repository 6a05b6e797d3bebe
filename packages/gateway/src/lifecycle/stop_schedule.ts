import type {Clock} from '@bayspool/kernel';

interface Options {
  readonly clock: Clock;
}

/** Margin before the end of the grace period, in ms, for the last responses to reach their callers. */
const FINAL_RESPONSE_MARGIN_MS = 700;
/** Time before the end of the grace period at which the process ends, whatever is open, in ms: the last log lines are written then. */
const EXIT_MARGIN_MS = 400;

/** Part of the grace period, at its end, in which calls may be aborted. */
const MAX_LATE_SHARE = 1 / 6;

/** The times of a host's shutdown, on its clock. */
export class StopSchedule {
  private startedAt = Infinity;
  private graceMs = Infinity;

  constructor(private readonly options: Options) {}

  /** Whether the host was told to stop. */
  get hasStarted(): boolean {
    return this.startedAt !== Infinity;
  }

  /** When the host was told to stop; Infinity if it was not. */
  get startAt(): number {
    return this.startedAt;
  }

  /** When open calls are aborted; Infinity if the host does not stop. */
  get abortAt(): number {
    return this.startedAt + this.graceMs - FINAL_RESPONSE_MARGIN_MS;
  }

  /** When the process ends, whatever is open; Infinity if the host does not stop. */
  get exitAt(): number {
    return this.startedAt + this.graceMs - EXIT_MARGIN_MS;
  }

  /** Time until open calls are aborted, in ms; Infinity if the host does not stop. */
  get leftMs(): number {
    return this.abortAt - this.options.clock.now();
  }

  /** Time from the start of the shutdown to a time on the clock, in ms; undefined if that was before. */
  computeStoppingMs(at: number): number | undefined {
    return at < this.startedAt ? undefined : at - this.startedAt;
  }

  /**
   * Begins the shutdown.
   *
   * @param graceMs time from the signal to the end of the process at the latest, in ms
   * @param lateMs how late the signal may have been handled, in ms: an upper bound, which is used as far as open calls
   *   have the larger part of the grace period all the same
   */
  start(graceMs: number, lateMs = 0): void {
    const maxLateMs = graceMs * MAX_LATE_SHARE - FINAL_RESPONSE_MARGIN_MS;
    const usedMs = Math.min(lateMs, Math.max(0, maxLateMs));
    this.startedAt = this.options.clock.now() - usedMs;
    this.graceMs = graceMs;
  }
}
