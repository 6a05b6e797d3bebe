interface Options {
  /** Initial number of concurrent requests. */
  readonly initial: number;
  readonly min: number;
  readonly max: number;
}

const DECREASE_FACTOR = 0.8;

/**
 * Limits this host's concurrent requests at one runner (AIMD): grows by one per round of responses
 * while the limit is reached, and shrinks by a fifth when the runner is overloaded.
 */
export class AdaptiveConcurrencyLimit {
  private limit: number;

  constructor(private readonly options: Options) {
    this.limit = options.initial;
  }

  get value(): number {
    return Math.floor(this.limit);
  }

  /** Records that a request succeeded while `inFlight` requests were in progress. */
  recordSuccess(inFlight: number): void {
    if (inFlight < this.value - 1) return;
    this.limit = Math.min(this.options.max, this.limit + 1 / this.limit);
  }

  /** Records that the runner rejected a request for lack of capacity, or queued it. */
  recordOverload(): void {
    this.limit = Math.max(this.options.min, this.limit * DECREASE_FACTOR);
  }
}
