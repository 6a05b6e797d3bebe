import type {Clock} from '@bayspool/kernel';

interface Options {
  readonly clock: Clock;
  /** Reading that other hosts have at the runner, in ms. */
  readonly othersMs: () => number;
}

/** Part of a prompt's reading that is taken as left until its first event comes. */
const LEAST_LEFT_PART = 0.1;

/**
 * The reading that this host's requests still have before them at a runner. The runner works it off
 * while time passes, in turn with that of other hosts.
 */
export class ReadingBacklog {
  private sentMs = 0;
  private leftMs = 0;
  private settledAt: number;

  constructor(private readonly options: Options) {
    this.settledAt = options.clock.now();
  }

  /** Reading of all requests without a first event as it was when they were sent, in ms. */
  get atSendingMs(): number {
    return this.sentMs;
  }

  /** What is left of it now, in ms. */
  get ms(): number {
    this.settle();
    return this.leftMs;
  }

  /** Adds a request on its way. */
  add(workMs: number): void {
    this.settle();
    this.sentMs += workMs;
    this.leftMs += workMs;
  }

  /** Takes off a request whose first event came, or that ended. */
  remove(workMs: number): void {
    this.settle();
    this.sentMs = Math.max(0, this.sentMs - workMs);
    this.leftMs = Math.min(this.leftMs, this.sentMs);
  }

  private settle(): void {
    const now = this.options.clock.now();
    const passedMs = now - this.settledAt;
    this.settledAt = now;
    if (this.leftMs === 0) return;
    const ownPart = this.leftMs / (this.leftMs + this.options.othersMs());
    const worked = this.leftMs - passedMs * ownPart;
    this.leftMs = Math.max(this.sentMs * LEAST_LEFT_PART, worked);
  }
}
