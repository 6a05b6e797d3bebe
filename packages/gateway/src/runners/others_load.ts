import type {Clock} from '@bayspool/kernel';
import type {RunnerLoad} from './runner_load.js';
import type {RunnerReport} from './runner_report.js';

interface Options {
  readonly clock: Clock;
}

interface Heard {
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
const REPORT_MS = 500;
const NO_LOAD: RunnerLoad = {running: 0, pendingMs: 0, ok: 0, failed: 0};

/** What other hosts have at a runner: as they told, corrected by what the runner says of itself. */
export class OthersLoad {
  private told = NO_LOAD;
  private heard: Heard | undefined;

  constructor(private readonly options: Options) {}

  /** Load and outcomes as other hosts told them. */
  get load(): RunnerLoad {
    return this.told;
  }

  /** Takes over what other hosts told. */
  take(load: RunnerLoad): void {
    this.told = load;
  }

  /**
   * Takes in what the runner said of itself.
   *
   * @param own requests of this host there, and those of them that wait
   */
  noteReport(report: RunnerReport, own: RunnerReport): void {
    const all = report.running + report.waiting;
    this.heard = {
      running: Math.max(0, all - own.running),
      waiting: Math.max(0, report.waiting - own.waiting),
      at: this.options.clock.now(),
    };
  }

  /** Requests that they have there. */
  get running(): number {
    return this.fresh?.running ?? this.told.running;
  }

  /**
   * Reading that they have there, in ms.
   *
   * @param usualMs what a request has to read, on average
   */
  pendingMs(usualMs: number): number {
    const {fresh} = this;
    if (!fresh) return this.told.pendingMs;
    if (fresh.waiting === 0) return 0;
    return Math.max(this.told.pendingMs, fresh.waiting * usualMs);
  }

  private get fresh(): Heard | undefined {
    const {heard, options} = this;
    if (!heard) return undefined;
    return options.clock.now() - heard.at < REPORT_MS ? heard : undefined;
  }
}
