import {
  AdaptiveConcurrencyLimit,
  RunnerPrefixCache,
  RunnerHealth,
  type RunnerReport,
  type RunnerView,
} from '@bayspool/decisions';
import type {Clock, RandomSource} from '@bayspool/kernel';
import type {PoolSettings} from './pool_settings.js';
import type {Target} from './target.js';

interface Options<T extends Target> {
  readonly target: T;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly settings: PoolSettings;
  /** What it offers as long as it reports nothing. */
  readonly offers: readonly string[];
}

const SERVICE_MS_FIRST = 300;
const PREFILL_MS_FIRST = 60;
const SMOOTHING = 0.1;
const REPORT_FAILURES_MOST = 3;

/** What this host knows of one runner, from its reports and from the own requests. */
export class TargetState<T extends Target> {
  readonly target: T;
  readonly health: RunnerHealth;
  readonly limit: AdaptiveConcurrencyLimit;
  readonly prefixes: RunnerPrefixCache;
  inFlight = 0;
  /** When a request was last dispatched to it, on the local clock in ms. */
  usedAt = -Infinity;
  private offers: ReadonlySet<string>;
  private report: RunnerReport | undefined;
  private reportedAt = -Infinity;
  private inFlightAtReport = 0;
  private reportFailures = 0;
  private serviceMs = SERVICE_MS_FIRST;

  constructor(private readonly options: Options<T>) {
    const {clock, random, settings, target} = options;
    this.target = target;
    this.offers = new Set(options.offers);
    this.health = new RunnerHealth({clock, random, ...settings.health});
    this.limit = new AdaptiveConcurrencyLimit(settings.limit);
    this.prefixes = new RunnerPrefixCache({clock, ...settings.prefixes});
  }

  get lastReport(): RunnerReport | undefined {
    return this.report;
  }

  offersVersion(version: string): boolean {
    return this.offers.has(version);
  }

  /** Whether it may get work at all. */
  isFit(): boolean {
    return (
      this.reportFailures < REPORT_FAILURES_MOST && !this.health.isEjected()
    );
  }

  hasRoom(): boolean {
    return (
      this.inFlight <
      Math.max(1, Math.floor(this.limit.value * this.health.share()))
    );
  }

  reported(report: RunnerReport): void {
    if (report.waiting > 0 && report.waiting > (this.report?.waiting ?? 0))
      this.limit.recordOverload();
    this.report = report;
    this.offers = new Set(report.versions);
    this.reportedAt = this.options.clock.now();
    this.inFlightAtReport = this.inFlight;
    this.reportFailures = 0;
  }

  reportFailed(): void {
    this.reportFailures++;
  }

  /** A request took this long from dispatch to its whole answer, in ms. */
  served(ms: number): void {
    this.serviceMs += SMOOTHING * (ms - this.serviceMs);
  }

  view(): RunnerView {
    return {
      id: this.target.id,
      place: this.target.place,
      inFlight: this.inFlight,
      limit: this.limit.value,
      load: this.load(),
      slots: this.report?.slots ?? this.options.settings.slots,
      serviceMs: this.serviceMs,
      prefillMs: PREFILL_MS_FIRST,
      share: this.health.share(),
      prefixes: this.prefixes,
    };
  }

  /** Requests of all hosts: the last report, corrected by what this host did since, unless it is old. */
  load(): number {
    const age = this.options.clock.now() - this.reportedAt;
    if (!this.report || age > this.options.settings.reportMaxAgeMs)
      return this.inFlight;
    const reported = this.report.running + this.report.waiting;
    return Math.max(
      this.inFlight,
      reported + this.inFlight - this.inFlightAtReport,
    );
  }
}
