import type {Clock} from '@bayspool/kernel';
import type {RunnerLoad} from './runner_load.js';
import type {LoadReport} from './load_report.js';

interface Options {
  readonly clock: Clock;
}

interface ReportedLoad {
  /** Requests of other hosts that are running or waiting. */
  readonly running: number;
  /** Requests of other hosts that are waiting. */
  readonly waiting: number;
  readonly at: number;
}

/**
 * How long a runner's own report takes precedence over loads from other hosts, in ms: about the age of those
 * loads when they arrive.
 */
const REPORT_TTL_MS = 500;
/**
 * Age of the loads from other hosts when they arrive, in ms: hosts exchange digests every 400 ms, and a digest of
 * another place is relayed once.
 */
const DIGEST_AGE_MS = 400;
const NO_LOAD: RunnerLoad = {running: 0, pendingMs: 0, ok: 0, failed: 0};

/** The load of other hosts at a runner: as they report it, corrected by what the runner itself reports. */
export class PeerLoad {
  private fromPeers = NO_LOAD;
  private fromPeersAt = -Infinity;
  private reported: ReportedLoad | undefined;

  constructor(private readonly options: Options) {}

  /** Load and outcomes as other hosts last reported them. */
  get lastFromPeers(): RunnerLoad {
    return this.fromPeers;
  }

  /** Replaces the load that other hosts reported. */
  updateFromPeers(load: RunnerLoad): void {
    this.fromPeers = load;
    this.fromPeersAt = this.options.clock.now();
  }

  /**
   * Updates the estimate from a report of the runner.
   *
   * @param own requests of this host at the runner, and those of them that are waiting
   */
  updateFromReport(report: LoadReport, own: LoadReport): void {
    const all = report.running + report.waiting;
    this.reported = {
      running: Math.max(0, all - own.running),
      waiting: Math.max(0, report.waiting - own.waiting),
      at: this.options.clock.now(),
    };
  }

  /** Age of {@link running}, in ms. */
  get ageMs(): number {
    const now = this.options.clock.now();
    const {freshReport} = this;
    if (freshReport) return now - freshReport.at;
    return now - this.fromPeersAt + DIGEST_AGE_MS;
  }

  /** Requests of other hosts at the runner. */
  get running(): number {
    return this.freshReport?.running ?? this.fromPeers.running;
  }

  /**
   * Prefill time of the other hosts' requests that have no first byte yet, in ms.
   *
   * @param meanPrefillMs average prefill time of a request
   */
  pendingMs(meanPrefillMs: number): number {
    const {freshReport} = this;
    if (!freshReport) return this.fromPeers.pendingMs;
    if (freshReport.waiting === 0) return 0;
    return Math.max(
      this.fromPeers.pendingMs,
      freshReport.waiting * meanPrefillMs,
    );
  }

  private get freshReport(): ReportedLoad | undefined {
    const {reported, options} = this;
    if (!reported) return undefined;
    return options.clock.now() - reported.at < REPORT_TTL_MS
      ? reported
      : undefined;
  }
}
