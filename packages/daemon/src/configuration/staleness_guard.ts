import type {LogFreshness} from '@bayspool/decisions';
import type {Clock} from '@bayspool/kernel';

interface Options {
  readonly clock: Clock;
  readonly freshness: LogFreshness;
  /** Past this age of the configuration the host counts as cut off from it, in ms. */
  readonly staleAfterMs: number;
  /** Tries to read the log, and to hear from peers, once and at once. */
  readonly refreshers: readonly (() => Promise<void>)[];
  /** After a refresh that failed the next one waits for this long, in ms. */
  readonly retryDelayMs: number;
}

/**
 * Whether this host can no longer tell if its configuration is the newest. A
 * process that was paused finds its knowledge old when it wakes; it refreshes it
 * before it serves, and only one that cannot counts as cut off.
 */
export class StalenessGuard {
  private pendingRefresh: Promise<void> | undefined;
  private lastFailureAt = -Infinity;

  constructor(private readonly options: Options) {}

  isStale(): boolean {
    return this.options.freshness.computeAgeMs() > this.options.staleAfterMs;
  }

  /** Resolves when the configuration is fresh, or when it cannot be made so now. */
  async refreshIfStale(): Promise<void> {
    if (!this.isStale()) return;
    if (
      this.options.clock.now() - this.lastFailureAt <
      this.options.retryDelayMs
    )
      return;
    this.pendingRefresh ??= this.refresh().finally(() => {
      this.pendingRefresh = undefined;
    });
    await this.pendingRefresh;
  }

  private async refresh(): Promise<void> {
    await Promise.allSettled(this.options.refreshers.map(refresh => refresh()));
    if (this.isStale()) this.lastFailureAt = this.options.clock.now();
  }
}
