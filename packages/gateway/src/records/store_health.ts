import type {Clock} from '@bayspool/kernel';
import type {EventLog} from '../observability/event_log.js';

interface Options {
  readonly clock: Clock;
  readonly log: EventLog;
}

/** Tells the log when this host loses the store and when it reaches it again. */
export class StoreHealth {
  private lost = false;
  private lostAt = 0;

  constructor(private readonly options: Options) {}

  /** Whether the last call to the store failed. */
  get isLost(): boolean {
    return this.lost;
  }

  /** Notes that the store answered. */
  noteSuccess(): void {
    if (!this.lost) return;
    const {clock, log} = this.options;
    this.lost = false;
    const afterMs = Math.round(clock.now() - this.lostAt);
    log.write('store_regained', {afterMs});
  }

  /** Notes that the store could not be reached. */
  noteFailure(reason: string): void {
    if (this.lost) return;
    const {clock, log} = this.options;
    this.lost = true;
    this.lostAt = clock.now();
    log.write('store_lost', {reason});
  }
}
