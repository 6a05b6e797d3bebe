import type {Clock} from '@bayspool/kernel';

/**
 * The time since the end of the log was last read. Hosts exchange it as an age, so that they
 * need no synchronized clocks.
 */
export class LogFreshness {
  private endSeenAt = -Infinity;

  constructor(private readonly clock: Clock) {}

  /** Records that a request sent at `sentAt` read the log to its end. */
  recordEndRead(sentAt: number): void {
    this.endSeenAt = Math.max(this.endSeenAt, sentAt);
  }

  /** Records that a peer at the same offset, in response to a message sent at `sentAt`, reported a freshness of `ageMs`. */
  recordPeerAge(ageMs: number, sentAt: number): void {
    this.endSeenAt = Math.max(this.endSeenAt, sentAt - ageMs);
  }

  /** Returns the time in ms since any host is known to have read the log to its end; infinite before the first read. */
  computeAgeMs(): number {
    return this.clock.now() - this.endSeenAt;
  }
}
