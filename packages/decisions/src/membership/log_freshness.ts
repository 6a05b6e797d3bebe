import type {Clock} from '@bayspool/kernel';

/**
 * How old the knowledge of the log's end is. It is passed on as an age, so that
 * hosts need no common clock.
 */
export class LogFreshness {
  private endSeenAt = -Infinity;

  constructor(private readonly clock: Clock) {}

  /** The log was read to its end by a request that was sent at `sentAt`. */
  recordEndRead(sentAt: number): void {
    this.endSeenAt = Math.max(this.endSeenAt, sentAt);
  }

  /** A peer at the same offset said that it saw the end `ageMs` before it answered a message sent at `sentAt`. */
  recordPeerAge(ageMs: number, sentAt: number): void {
    this.endSeenAt = Math.max(this.endSeenAt, sentAt - ageMs);
  }

  /** Ms since somebody is known to have read to the log's end; infinite before the first time. */
  computeAgeMs(): number {
    return this.clock.now() - this.endSeenAt;
  }
}
