import type {Clock, Timer} from '@bayspool/kernel';
import type {EventLog} from '../observability/event_log.js';

interface Options {
  /** Counts time in which the machine was suspended too. */
  readonly clock: Clock;
  readonly log: EventLog;
  /** When the configuration in force replaced another one, on that clock; undefined if it is the first. */
  readonly changedAt: () => number | undefined;
}

/** A time in which the process did nothing else, on the clock of the watch. */
interface Standstill {
  readonly fromAt: number;
  readonly untilAt: number;
}

/** Pause between two looks, in ms. */
const PAUSE_MS = 100;
/** How late a look counts as a standstill, in ms: over what other work of this process takes. */
const MIN_LATE_MS = 200;
/** Time after a standstill in which what waited is read, in ms: new connections may be tried again for a second. */
const BACKLOG_MS = 2_000;

/**
 * Notices when this process stood still. What it reads then may have waited all the while, so it may have been sent under a
 * configuration that this host has never heard of.
 */
export class StandstillWatch {
  private lookedAt: number;
  /** Those whose backlog may not be read yet. */
  private standstills: Standstill[] = [];
  private timer: Timer | undefined;

  constructor(private readonly options: Options) {
    this.lookedAt = options.clock.now();
  }

  /** Whether a request that is read now may have been sent before the configuration in force was. */
  mayPredateConfiguration(): boolean {
    this.look();
    const changedAt = this.options.changedAt();
    if (changedAt === undefined) return false;
    return this.standstills.some(({fromAt}) => changedAt >= fromAt);
  }

  /** Looks from now on. */
  start(): void {
    this.lookedAt = this.options.clock.now();
    this.lookAgain();
  }

  /** Looks no more. */
  stop(): void {
    this.timer?.cancel();
  }

  private lookAgain(): void {
    this.timer = this.options.clock.after(PAUSE_MS, () => {
      this.look();
      this.lookAgain();
    });
  }

  private look(): void {
    const {clock, log} = this.options;
    const now = clock.now();
    const fromAt = this.lookedAt;
    const forMs = now - fromAt - PAUSE_MS;
    this.lookedAt = now;
    // Asked for with each request with a key; mostly there is none.
    if (this.standstills.length > 0) this.forget(now);
    if (forMs < MIN_LATE_MS) return;
    this.standstills.push({fromAt, untilAt: now});
    log.write('stood_still', {forMs: Math.round(forMs)});
  }

  private forget(now: number): void {
    this.standstills = this.standstills.filter(
      ({untilAt}) => now - untilAt < BACKLOG_MS,
    );
  }
}
