interface Options {
  /** Requests at once to begin with. */
  readonly initial: number;
  readonly least: number;
  readonly most: number;
}

const DECREASE_FACTOR = 0.8;

/**
 * How many requests this host keeps at one runner: grows by one for each round of
 * answers while it is the bound, and falls by a fifth when the runner is overloaded.
 */
export class AdaptiveConcurrencyLimit {
  private limit: number;

  constructor(private readonly options: Options) {
    this.limit = options.initial;
  }

  get value(): number {
    return Math.floor(this.limit);
  }

  /** A request ended well while `inFlight` were out. */
  recordSuccess(inFlight: number): void {
    if (inFlight < this.value - 1) return;
    this.limit = Math.min(this.options.most, this.limit + 1 / this.limit);
  }

  /** The runner refused for want of room, or queued what it was sent. */
  recordOverload(): void {
    this.limit = Math.max(this.options.least, this.limit * DECREASE_FACTOR);
  }
}
