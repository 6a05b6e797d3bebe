import type {Clock} from '@bayspool/kernel';
import type {RunnerLoad} from './runner_load.js';
import type {LoadReport} from './load_report.js';

interface Options {
  readonly clock: Clock;
}

interface ReportedLoad {
  /** Requests of other hosts that it works on or that wait. */
  readonly running: number;
  /** Requests of other hosts that wait. */
  readonly waiting: number;
  readonly at: number;
}

/**
 * How long a runner's own report goes before what other hosts told, in ms: about as old as what they
 * tell is when it arrives.
 */
const REPORT_TTL_MS = 500;
const NO_LOAD: RunnerLoad = {running: 0, pendingMs: 0, ok: 0, failed: 0};

/** What other hosts have at a runner: as they told, corrected by what the runner says of itself. */
export class PeerLoad {
  private fromPeers = NO_LOAD;
  private reported: ReportedLoad | undefined;

  constructor(private readonly options: Options) {}

  /** Load and outcomes as other hosts told them. */
  get lastFromPeers(): RunnerLoad {
    return this.fromPeers;
  }

  /** Takes over what other hosts told. */
  updateFromPeers(load: RunnerLoad): void {
    this.fromPeers = load;
  }

  /**
   * Takes in what the runner said of itself.
   *
   * @param own requests of this host there, and those of them that wait
   */
  updateFromReport(report: LoadReport, own: LoadReport): void {
    const all = report.running + report.waiting;
    this.reported = {
      running: Math.max(0, all - own.running),
      waiting: Math.max(0, report.waiting - own.waiting),
      at: this.options.clock.now(),
    };
  }

  /** Requests that they have there. */
  get running(): number {
    return this.fresh?.running ?? this.fromPeers.running;
  }

  /**
   * Reading that they have there, in ms.
   *
   * @param usualMs what a request has to read, on average
   */
  pendingMs(usualMs: number): number {
    const {fresh} = this;
    if (!fresh) return this.fromPeers.pendingMs;
    if (fresh.waiting === 0) return 0;
    return Math.max(this.fromPeers.pendingMs, fresh.waiting * usualMs);
  }

  private get fresh(): ReportedLoad | undefined {
    const {reported: heard, options} = this;
    if (!heard) return undefined;
    return options.clock.now() - heard.at < REPORT_TTL_MS ? heard : undefined;
  }
}
