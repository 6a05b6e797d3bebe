import {
  AdaptiveConcurrencyLimit,
  RunnerPrefixCache,
  RunnerHealth,
  type RunnerReport,
  type RunnerView,
} from '@bayspool/decisions';
import type {Clock, RandomSource} from '@bayspool/kernel';
import type {PoolSettings} from './pool_settings.js';
import type {Backend} from './backend.js';

interface Options<T extends Backend> {
  readonly backend: T;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly settings: PoolSettings;
  /** The versions that it serves until its first report. */
  readonly initialVersions: readonly string[];
}

const INITIAL_SERVICE_MS = 300;
const DEFAULT_PREFILL_MS = 60;
const SMOOTHING_FACTOR = 0.1;
const MAX_REPORT_FAILURES = 3;

/** The state of one runner as this host sees it, from its reports and from this host's own requests. */
export class BackendState<T extends Backend> {
  readonly backend: T;
  readonly health: RunnerHealth;
  readonly limit: AdaptiveConcurrencyLimit;
  readonly prefixes: RunnerPrefixCache;
  inFlight = 0;
  /** When a request was last dispatched to it, on the local clock in ms. */
  lastDispatchedAt = -Infinity;
  private versions: ReadonlySet<string>;
  private report: RunnerReport | undefined;
  private reportedAt = -Infinity;
  private inFlightAtReport = 0;
  private consecutiveReportFailures = 0;
  private serviceMs = INITIAL_SERVICE_MS;

  constructor(private readonly options: Options<T>) {
    const {clock, random, settings, backend} = options;
    this.backend = backend;
    this.versions = new Set(options.initialVersions);
    this.health = new RunnerHealth({clock, random, ...settings.health});
    this.limit = new AdaptiveConcurrencyLimit(settings.limit);
    this.prefixes = new RunnerPrefixCache({clock, ...settings.prefixes});
  }

  get lastReport(): RunnerReport | undefined {
    return this.report;
  }

  servesVersion(version: string): boolean {
    return this.versions.has(version);
  }

  /** Whether it may receive requests: its reports arrive and it is not ejected. */
  isHealthy(): boolean {
    return (
      this.consecutiveReportFailures < MAX_REPORT_FAILURES &&
      !this.health.isEjected()
    );
  }

  hasCapacity(): boolean {
    return (
      this.inFlight <
      Math.max(1, Math.floor(this.limit.value * this.health.share()))
    );
  }

  updateFromReport(report: RunnerReport): void {
    if (report.waiting > 0 && report.waiting > (this.report?.waiting ?? 0))
      this.limit.recordOverload();
    this.report = report;
    this.versions = new Set(report.versions);
    this.reportedAt = this.options.clock.now();
    this.inFlightAtReport = this.inFlight;
    this.consecutiveReportFailures = 0;
  }

  recordReportFailure(): void {
    this.consecutiveReportFailures++;
  }

  /** Updates the mean service time: from dispatch to the complete response, in ms. */
  recordServiceTime(ms: number): void {
    this.serviceMs += SMOOTHING_FACTOR * (ms - this.serviceMs);
  }

  createView(): RunnerView {
    return {
      id: this.backend.id,
      place: this.backend.place,
      inFlight: this.inFlight,
      limit: this.limit.value,
      load: this.load(),
      slots: this.report?.slots ?? this.options.settings.defaultSlots,
      serviceMs: this.serviceMs,
      prefillMs: DEFAULT_PREFILL_MS,
      share: this.health.share(),
      prefixes: this.prefixes,
    };
  }

  /** Running and waiting requests of all hosts: the last report plus the change in this host's own requests since; only the own requests once the report is too old. */
  load(): number {
    const age = this.options.clock.now() - this.reportedAt;
    if (!this.report || age > this.options.settings.maxReportAgeMs)
      return this.inFlight;
    const reported = this.report.running + this.report.waiting;
    return Math.max(
      this.inFlight,
      reported + this.inFlight - this.inFlightAtReport,
    );
  }
}
