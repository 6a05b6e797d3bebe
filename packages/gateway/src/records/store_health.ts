import type {Clock} from '@bayspool/kernel';
import type {EventLog} from '../observability/event_log.js';

interface Options {
  readonly clock: Clock;
  readonly log: EventLog;
}

/** Tracks whether this host can reach the store, and logs each change. */
export class StoreHealth {
  private unavailable = false;
  private unavailableSince = 0;

  constructor(private readonly options: Options) {}

  /** Whether the last call to the store failed. */
  get isUnavailable(): boolean {
    return this.unavailable;
  }

  /** Records a successful call to the store. */
  recordSuccess(): void {
    if (!this.unavailable) return;
    const {clock, log} = this.options;
    this.unavailable = false;
    const afterMs = Math.round(clock.now() - this.unavailableSince);
    log.write('store_regained', {afterMs});
  }

  /** Records a failed call to the store. */
  recordFailure(reason: string): void {
    if (this.unavailable) return;
    const {clock, log} = this.options;
    this.unavailable = true;
    this.unavailableSince = clock.now();
    log.write('store_lost', {reason});
  }
}
