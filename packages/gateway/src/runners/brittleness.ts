import type {Clock} from '@bayspool/kernel';

interface Options {
  readonly clock: Clock;
  /** Requests that the runner processes at the same time. */
  readonly slots: () => number;
}

/** Factor by which a rejection lowers the number of requests that the runner is believed to have room for. */
const REJECTION_FACTOR = 0.5;
/** Time without a rejection after which that number grows by one, in ms. */
const GROWTH_INTERVAL_MS = 2_000;

/** What is known of the room at a runner that states that it fails if it rejects too many requests. */
export class Brittleness {
  private statedAt: number | undefined;
  private limit = 0;
  private reducedRoom = Infinity;
  private rejectedAt = -Infinity;

  constructor(private readonly options: Options) {}

  /** Rejections in a second above which the runner fails; undefined if it states none. */
  get perSecond(): number | undefined {
    return this.statedAt === undefined ? undefined : this.limit;
  }

  /** Time since the runner last stated it, in ms. */
  get ageMs(): number {
    const now = this.options.clock.now();
    return now - (this.statedAt ?? now);
  }

  /** Time since the runner last rejected a request of this host, in ms. */
  get sinceRejectedMs(): number {
    return this.options.clock.now() - this.rejectedAt;
  }

  /** Requests of all hosts together for which the runner is believed to have room. */
  get room(): number {
    const grownBy = Math.floor(this.sinceRejectedMs / GROWTH_INTERVAL_MS);
    const room = this.reducedRoom + (Number.isFinite(grownBy) ? grownBy : 0);
    return Math.max(1, Math.min(this.options.slots(), room));
  }

  /** Updates the statement from a response; it ends with the first response that lacks it. */
  updateFromResponse(perSecond: number | undefined): void {
    if (perSecond === undefined) {
      this.statedAt = undefined;
      this.reducedRoom = Infinity;
      return;
    }
    this.statedAt = this.options.clock.now();
    this.limit = perSecond;
  }

  /** Notes that the runner rejected a request of this host for want of room. */
  noteRejected(): void {
    this.reducedRoom = Math.floor(this.room * REJECTION_FACTOR);
    this.rejectedAt = this.options.clock.now();
  }
}
