import type {Clock} from '@bayspool/kernel';

interface Options {
  readonly clock: Clock;
  readonly perSecond: number;
  readonly burst: number;
}

const SECOND_MS = 1_000;

/** A token bucket: limits a rate and allows bursts. */
export class TokenBucket {
  private perSecond: number;
  private maxSaved: number;
  private tokens: number;
  private refilledAt: number;

  constructor(private readonly options: Options) {
    this.perSecond = options.perSecond;
    this.maxSaved = options.burst;
    this.tokens = options.burst;
    this.refilledAt = options.clock.now();
  }

  /** Maximum number of tokens that are saved. */
  get burst(): number {
    return this.maxSaved;
  }

  /** Tokens that are saved; negative if more were spent than were available. */
  get saved(): number {
    this.refill();
    return this.tokens;
  }

  /** Changes the rate and the burst; saved tokens are kept up to the new burst. */
  resize(perSecond: number, burst: number): void {
    this.refill();
    this.perSecond = perSecond;
    this.maxSaved = burst;
    this.tokens = Math.min(this.tokens, burst);
  }

  /** Takes `cost` tokens and returns 0, or returns the time in ms until they are available. */
  take(cost = 1): number {
    const waitMs = this.computeWaitMs(cost);
    if (waitMs === 0) this.tokens -= cost;
    return waitMs;
  }

  /** Takes `cost` tokens in any case; later refills make up for what is missing, which is at most `maxDebt`. */
  spend(cost: number, maxDebt: number): void {
    this.refill();
    this.tokens = Math.max(Math.min(this.tokens, -maxDebt), this.tokens - cost);
  }

  /** Time until `cost` tokens are available, in ms; a cost above the burst needs a full bucket. */
  computeWaitMs(cost = 1): number {
    const missing = Math.min(cost, this.maxSaved) - this.saved;
    if (missing <= 0) return 0;
    return this.perSecond > 0
      ? (missing / this.perSecond) * SECOND_MS
      : SECOND_MS;
  }

  private refill(): void {
    const now = this.options.clock.now();
    this.tokens = Math.min(
      this.maxSaved,
      this.tokens + ((now - this.refilledAt) / SECOND_MS) * this.perSecond,
    );
    this.refilledAt = now;
  }
}
