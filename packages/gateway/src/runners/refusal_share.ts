import type {Clock} from '@bayspool/kernel';

interface Options {
  readonly clock: Clock;
}

/** Half-life of the weight of a request, in ms: a runner that answers requests again is used again soon. */
const HALF_LIFE_MS = 1_500;
/** Requests that count as taken without being known, so that a single refusal says little. */
const ASSUMED_TAKEN = 1;

/**
 * The share of the requests sent to a runner that it refused to run, or whose responses it broke, with exponential
 * decay. Either takes it so little time that it looks idle.
 */
export class RefusalShare {
  private taken = 0;
  private refused = 0;
  /** Whether the last request that the runner took ended with a broken response. */
  private wasBroken = false;
  private decayedAt = 0;

  constructor(private readonly options: Options) {}

  /** From 0 to below 1. */
  get value(): number {
    this.decay();
    return this.refused / (this.refused + this.taken + ASSUMED_TAKEN);
  }

  recordTaken(): void {
    this.decay();
    this.taken += 1;
    this.wasBroken = false;
  }

  recordRefused(): void {
    this.decay();
    this.refused += 1;
  }

  /** Records that the runner broke its response: one says little, and counts like a request that it took. */
  recordBroken(): void {
    if (this.wasBroken) return this.recordRefused();
    this.recordTaken();
    this.wasBroken = true;
  }

  /** Forgets all requests: the failures were not the runner's. */
  reset(): void {
    this.taken = 0;
    this.refused = 0;
    this.wasBroken = false;
  }

  private decay(): void {
    const now = this.options.clock.now();
    const factor = 0.5 ** ((now - this.decayedAt) / HALF_LIFE_MS);
    this.taken *= factor;
    this.refused *= factor;
    this.decayedAt = now;
  }
}
