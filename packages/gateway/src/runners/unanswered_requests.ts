import type {Clock} from '@bayspool/kernel';

interface Options {
  readonly clock: Clock;
}

/** Maximum number of requests that are remembered. */
const MAX_REQUESTS = 256;

/**
 * Requests whose response on a connection did not answer their call, so that they may be sent again. A runner
 * may repeat such a response late; on the same connection it would pass for the response to the next attempt.
 */
export class UnansweredRequests {
  /** End of the call's time limit by request id, on this host's clock; the oldest first. */
  private readonly deadlines = new Map<string, number>();

  constructor(private readonly options: Options) {}

  /** Whether no further request can be remembered. */
  get isFull(): boolean {
    return this.deadlines.size >= MAX_REQUESTS;
  }

  /** Remembers a request until the time limit of its call, after which it is not sent again. */
  add(id: string, deadlineAt: number): void {
    this.removeExpired();
    this.deadlines.set(id, deadlineAt);
  }

  has(id: string): boolean {
    return this.deadlines.has(id);
  }

  private removeExpired(): void {
    const now = this.options.clock.now();
    for (const [id, deadlineAt] of this.deadlines) {
      if (deadlineAt > now) return;
      this.deadlines.delete(id);
    }
  }
}
