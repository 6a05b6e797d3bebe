import type {LogFreshness} from '@bayspool/decisions';
import type {Clock} from '@bayspool/kernel';

interface Options {
  readonly clock: Clock;
  readonly freshness: LogFreshness;
  /** Maximum age of the configuration, in ms; above it the host is stale. */
  readonly staleAfterMs: number;
  /** One attempt each to read the log and to ask a peer; run concurrently. */
  readonly refreshers: readonly (() => Promise<void>)[];
  /** Minimum delay between a failed refresh and the next one, in ms. */
  readonly retryDelayMs: number;
}

/**
 * Detects that this host can no longer tell whether its configuration is the newest.
 * A process that was paused is stale when it resumes: it refreshes before it serves,
 * and counts as cut off only when the refresh fails.
 */
export class StalenessGuard {
  private pendingRefresh: Promise<void> | undefined;
  private lastFailureAt = -Infinity;

  constructor(private readonly options: Options) {}

  isStale(): boolean {
    return this.options.freshness.computeAgeMs() > this.options.staleAfterMs;
  }

  /** Resolves when the configuration is fresh or a refresh has failed; at once within `retryDelayMs` of a failure. */
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
