import type {Clock, Timer} from '@bayspool/kernel';
import type {EventLog} from '../observability/event_log.js';
import type {Stall} from './stall.js';

interface Options {
  /** Also counts time for which the machine was suspended. */
  readonly clock: Clock;
  readonly log: EventLog;
  /** When the active configuration replaced another one, on that clock; undefined if it is the first. */
  readonly configurationChangedAt: () => number | undefined;
}

/** Interval between two checks, in ms. */
const CHECK_INTERVAL_MS = 100;
/** Age of the older of two timers in a process that is not late, in ms. */
const MAX_TIMER_AGE_MS = 2 * CHECK_INTERVAL_MS;
/** Delay of a check that counts as a stall, in ms: longer than other work of this process takes. */
const STALL_THRESHOLD_MS = 200;
/** How long after a delayed check events are still handled that came during the delay, in ms. */
const DELAY_KEPT_MS = 100;
/** Time after a stall within which the backlog is read, in ms: clients may retry new connections for a second. */
const BACKLOG_DRAIN_MS = 2_000;

/**
 * Detects when this process stalled. A request that it reads afterwards may have waited for the whole stall, so it may
 * have been sent under a configuration that this host never received.
 */
export class StallDetector {
  private lastCheckAt: number;
  /** Stalls whose backlog may not be fully read yet. */
  private recentStalls: Stall[] = [];
  /**
   * Times of the last two timers that fired, the older one first. The event loop looks for events between two timers,
   * so an event that is handled now came behind the older one.
   */
  private timersAt: readonly [number, number];
  /** Longest delay of a check of the last moments, and the time of that check. */
  private worstDelay = {forMs: 0, at: -Infinity};
  private timer: Timer | undefined;
  private latestStall: Stall | undefined;

  constructor(private readonly options: Options) {
    const now = options.clock.now();
    this.lastCheckAt = now;
    this.timersAt = [now, now];
  }

  /** How long an event may have waited that is handled now, in ms. */
  get lateMs(): number {
    this.check();
    const delayMs = this.isDelayRecent ? this.worstDelay.forMs : 0;
    const sinceTimerMs = this.options.clock.now() - this.timersAt[0];
    return Math.max(delayMs, sinceTimerMs - MAX_TIMER_AGE_MS);
  }

  /** The last stall since the checks were started; undefined if there was none. */
  get lastStall(): Stall | undefined {
    if (this.timer) this.check();
    return this.latestStall;
  }

  /** Whether a request that is read now may have been sent before the active configuration was published. */
  mayPredateConfiguration(): boolean {
    this.check();
    const configurationChangedAt = this.options.configurationChangedAt();
    if (configurationChangedAt === undefined) return false;
    return this.recentStalls.some(
      ({fromAt}) => configurationChangedAt >= fromAt,
    );
  }

  /** Starts the checks. */
  start(): void {
    const now = this.options.clock.now();
    this.lastCheckAt = now;
    this.timersAt = [now, now];
    this.scheduleCheck();
  }

  /** Stops the checks. */
  stop(): void {
    this.timer?.cancel();
    this.timer = undefined;
  }

  private scheduleCheck(): void {
    this.timer = this.options.clock.after(CHECK_INTERVAL_MS, () => {
      this.check();
      this.timersAt = [this.timersAt[1], this.options.clock.now()];
      this.scheduleCheck();
    });
  }

  private check(): void {
    const {clock, log} = this.options;
    const now = clock.now();
    const fromAt = this.lastCheckAt;
    const forMs = now - fromAt - CHECK_INTERVAL_MS;
    this.lastCheckAt = now;
    if (forMs > this.worstDelay.forMs || !this.isDelayRecent)
      this.worstDelay = {forMs: Math.max(0, forMs), at: now};
    // Runs for each request with a key, and mostly there is no stall.
    if (this.recentStalls.length > 0) this.removeExpired(now);
    if (forMs < STALL_THRESHOLD_MS) return;
    this.latestStall = {fromAt, untilAt: now};
    this.recentStalls.push(this.latestStall);
    log.write('stood_still', {forMs: Math.round(forMs)});
  }

  private get isDelayRecent(): boolean {
    return this.options.clock.now() - this.worstDelay.at < DELAY_KEPT_MS;
  }

  private removeExpired(now: number): void {
    this.recentStalls = this.recentStalls.filter(
      ({untilAt}) => now - untilAt < BACKLOG_DRAIN_MS,
    );
  }
}
