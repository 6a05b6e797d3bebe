import type {Clock} from '@bayspool/kernel';
import type {EventLog} from '../observability/event_log.js';

interface Options {
  readonly clock: Clock;
  readonly log: EventLog;
}

/** Whether this host reaches the store itself, and when it came back. */
export class StoreHealth {
  private lost = false;
  private changedAt = -Infinity;
  private lostForMs = 0;

  constructor(private readonly options: Options) {}

  get isLost(): boolean {
    return this.lost;
  }

  /** When the store answered again after the last outage; -Infinity if there was none. */
  get returnedAt(): number {
    return this.lost ? -Infinity : this.changedAt;
  }

  noteSuccess(): void {
    if (!this.lost) return;
    const {clock, log} = this.options;
    this.lost = false;
    this.lostForMs = clock.now() - this.changedAt;
    this.changedAt = clock.now();
    log.write('store_regained', {afterMs: Math.round(this.lostForMs)});
  }

  noteFailure(reason: string): void {
    if (this.lost) return;
    const {clock, log} = this.options;
    this.lost = true;
    this.changedAt = clock.now();
    log.write('store_lost', {reason});
  }
}
