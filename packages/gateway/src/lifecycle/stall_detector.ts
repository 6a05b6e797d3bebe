import type {Clock, Timer} from '@bayspool/kernel';
import type {EventLog} from '../observability/event_log.js';

interface Options {
  /** Counts time in which the machine was suspended too. */
  readonly clock: Clock;
  readonly log: EventLog;
  /** When the configuration in force replaced another one, on that clock; undefined if it is the first. */
  readonly configurationChangedAt: () => number | undefined;
}

/** A time in which the process did nothing else, on the clock of the watch. */
interface Stall {
  readonly fromAt: number;
  readonly untilAt: number;
}

/** Pause between two looks, in ms. */
const CHECK_INTERVAL_MS = 100;
/** How late a look counts as a standstill, in ms: over what other work of this process takes. */
const STALL_THRESHOLD_MS = 200;
/** Time after a standstill in which what waited is read, in ms: new connections may be tried again for a second. */
const BACKLOG_DRAIN_MS = 2_000;

/**
 * Notices when this process stood still. What it reads then may have waited all the while, so it may have been sent under a
 * configuration that this host has never heard of.
 */
export class StallDetector {
  private lastCheckAt: number;
  /** Those whose backlog may not be read yet. */
  private recentStalls: Stall[] = [];
  private timer: Timer | undefined;

  constructor(private readonly options: Options) {
    this.lastCheckAt = options.clock.now();
  }

  /** Whether a request that is read now may have been sent before the configuration in force was. */
  mayPredateConfiguration(): boolean {
    this.check();
    const changedAt = this.options.configurationChangedAt();
    if (changedAt === undefined) return false;
    return this.recentStalls.some(({fromAt}) => changedAt >= fromAt);
  }

  /** Looks from now on. */
  start(): void {
    this.lastCheckAt = this.options.clock.now();
    this.scheduleCheck();
  }

  /** Looks no more. */
  stop(): void {
    this.timer?.cancel();
  }

  private scheduleCheck(): void {
    this.timer = this.options.clock.after(CHECK_INTERVAL_MS, () => {
      this.check();
      this.scheduleCheck();
    });
  }

  private check(): void {
    const {clock, log} = this.options;
    const now = clock.now();
    const fromAt = this.lastCheckAt;
    const forMs = now - fromAt - CHECK_INTERVAL_MS;
    this.lastCheckAt = now;
    // Asked for with each request with a key; mostly there is none.
    if (this.recentStalls.length > 0) this.removeExpired(now);
    if (forMs < STALL_THRESHOLD_MS) return;
    this.recentStalls.push({fromAt, untilAt: now});
    log.write('stood_still', {forMs: Math.round(forMs)});
  }

  private removeExpired(now: number): void {
    this.recentStalls = this.recentStalls.filter(
      ({untilAt}) => now - untilAt < BACKLOG_DRAIN_MS,
    );
  }
}
