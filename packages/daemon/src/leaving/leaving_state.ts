import type {Clock} from '@bayspool/kernel';
import type {ConfigurationStore} from '../configuration/configuration_store.js';

interface Options {
  readonly clock: Clock;
  readonly hostId: string;
  readonly store: ConfigurationStore;
  /** How long a leaving host still accepts work, so that the load balancer notices first, in ms. */
  readonly gracePeriodMs: number;
}

/**
 * Tracks whether this host is leaving: after a signal, by an operator's drain intent
 * or because the platform's roster says so.
 */
export class LeavingState {
  private isShuttingDown = false;
  private listedIds: ReadonlySet<string> = new Set();
  private leavingSince: number | undefined;

  constructor(private readonly options: Options) {}

  /** Marks the host as leaving because the process was asked to end. */
  beginShutdown(): void {
    this.isShuttingDown = true;
    this.update();
  }

  /**
   * Records the hosts and runners that the platform's roster marks as leaving. The
   * roster lags, so an absent id says nothing.
   */
  updateListed(ids: ReadonlySet<string>): void {
    this.listedIds = ids;
    this.update();
  }

  isLeaving(): boolean {
    this.update();
    return this.leavingSince !== undefined;
  }

  isRunnerLeaving(id: string): boolean {
    return this.listedIds.has(id);
  }

  /** Whether the grace period is over and new work is refused. */
  rejectsNewWork(): boolean {
    return (
      this.isLeaving() &&
      this.options.clock.now() - this.leavingSince! >=
        this.options.gracePeriodMs
    );
  }

  get gracePeriodMs(): number {
    return this.options.gracePeriodMs;
  }

  private update(): void {
    const {clock, hostId, store} = this.options;
    const isLeaving =
      this.isShuttingDown ||
      this.listedIds.has(hostId) ||
      Boolean(store.current.drained[`host/${hostId}`]);
    if (!isLeaving) this.leavingSince = undefined;
    else this.leavingSince ??= clock.now();
  }
}
