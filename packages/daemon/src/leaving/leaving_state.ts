import type {Clock} from '@bayspool/kernel';
import type {ConfigurationStore} from '../configuration/configuration_store.js';

interface Options {
  readonly clock: Clock;
  readonly hostId: string;
  readonly store: ConfigurationStore;
  /** For how long a leaving host still takes work, so that the balancer sees it first, in ms. */
  readonly gracePeriodMs: number;
}

/** Whether this host is leaving: told by a signal, by an operator's intent or by the platform's list. */
export class LeavingState {
  private isShuttingDown = false;
  private listedIds: ReadonlySet<string> = new Set();
  private leavingSince: number | undefined;

  constructor(private readonly options: Options) {}

  /** The process was asked to end. */
  beginShutdown(): void {
    this.isShuttingDown = true;
    this.update();
  }

  /** The platform lists these hosts and runners as leaving. The list lags, so absence means nothing. */
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

  /** Whether the notice is over and new work is refused. */
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
    const leaving =
      this.isShuttingDown ||
      this.listedIds.has(hostId) ||
      Boolean(store.current.drained[`host/${hostId}`]);
    if (!leaving) this.leavingSince = undefined;
    else this.leavingSince ??= clock.now();
  }
}
