import {RetrySchedule} from '@bayspool/decisions/admission';
import {SharedRetryBudget, PriorityAdmission} from '@bayspool/decisions/calls';
import type {RetryCounts, RunnerRateLimit} from '@bayspool/decisions/calls';
import {getOwn} from '@bayspool/kernel';
import type {Clock, RandomSource} from '@bayspool/kernel';
import type {ActiveConfiguration} from '../discovery/active_configuration.js';
import type {GatewaySettings} from '../gateway_settings.js';
import type {MetricSample} from '../observability/metric_sample.js';
import type {LoadDigest} from '../peers/load_digest.js';
import type {MembershipView} from '../peers/membership_view.js';

interface Options {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly configuration: ActiveConfiguration;
  readonly membership: MembershipView;
  /** The currentSettings in force. */
  readonly currentSettings: () => GatewaySettings;
  /** Window over which retries are counted, in ms; fixed at the start. */
  readonly retryWindowMs: number;
}

/** Fraction of a runner's connections that all hosts together open. */
const CONNECTION_FRACTION = 0.9;
/** Connections that a host may open to a runner even if its share is lower. */
const MIN_CONNECTIONS = 3;
/** Window in which the platform counts calls to a runner in cold start, in ms. */
const COLD_START_WINDOW_MS = 1_000;
/** Window over which capacity is reserved for urgent calls, in ms: about that of declared limits. */
const PRIORITY_WINDOW_MS = 4_000;
/** Upper bound of a service's latency target, in ms, which applies if no route targets the service. */
const MAX_LATENCY_TARGET_MS = 10_000;
const MS_PER_SECOND = 1_000;

/**
 * Maximum age of the other hosts' retry counts, in ms: a few digests. Older ones miss what they have
 * sent since.
 */
const MAX_PEER_COUNTS_AGE_MS = 2_000;

/** This host's limits for each service, from the configuration and the number of hosts. */
export class ServiceLimits {
  private readonly retryBudgets = new Map<string, SharedRetryBudget>();
  private readonly priorityAdmissions = new Map<string, PriorityAdmission>();
  private readonly retrySchedules = new Map<string, RetrySchedule>();

  private readonly startedAt: number;
  private peerRetries: LoadDigest['retries'];
  private peerRetriesAt = -Infinity;

  constructor(private readonly options: Options) {
    this.startedAt = options.clock.now();
  }

  /** Maximum number of connections of this host to a runner of the service. */
  maxConnections(service: string): number {
    const all =
      this.options.configuration.current?.services.get(service)?.maxConnections;
    if (all === undefined) return MIN_CONNECTIONS;
    // The hosts heard of serve here even without the registry: what a runner resets costs an attempt, while too small a
    // share rejects calls.
    const share = (all * CONNECTION_FRACTION) / this.options.membership.heardOf;
    return Math.max(MIN_CONNECTIONS, Math.floor(share));
  }

  /** Rate limit of the service's runners during cold start; undefined if there is none. */
  coldStartLimitOf(service: string): RunnerRateLimit | undefined {
    const {configuration, currentSettings} = this.options;
    const perSecond =
      configuration.current?.services.get(service)?.coldCallsPerSecond;
    if (perSecond === undefined) return undefined;
    const {coldOverage: overage, coldSlack: slack} = currentSettings();
    return {perSecond, overage, slack, windowMs: COLD_START_WINDOW_MS};
  }

  /** The retry budget of a service. */
  retryBudgetOf(service: string): SharedRetryBudget {
    const known = this.retryBudgets.get(service);
    if (known) return known;
    const {clock, currentSettings, retryWindowMs, membership} = this.options;
    const budget = new SharedRetryBudget({
      clock,
      ratio: () => currentSettings().retryRatio,
      extra: () => currentSettings().retryExtra,
      startedAt: this.startedAt,
      windowMs: retryWindowMs,
      membership: () => membership,
      peerCounts: () => this.peerCountsOf(service),
    });
    this.retryBudgets.set(service, budget);
    return budget;
  }

  /** Calls and retries of this host in the last window, by service. */
  createRetryDigest(): LoadDigest['retries'] {
    const digest = new Map<string, readonly [number, number]>();
    for (const [service, {windowCounts}] of this.retryBudgets) {
      const {calls, retries} = windowCounts;
      if (calls + retries > 0) digest.set(service, [calls, retries]);
    }
    return Object.fromEntries(digest);
  }

  /** Applies the sum of the other hosts' counts. */
  applyPeerRetries(retries: LoadDigest['retries']): void {
    this.peerRetries = retries;
    this.peerRetriesAt = this.options.clock.now();
  }

  private peerCountsOf(service: string): RetryCounts | undefined {
    const ageMs = this.options.clock.now() - this.peerRetriesAt;
    const counts = getOwn(this.peerRetries ?? {}, service);
    if (!counts || ageMs > MAX_PEER_COUNTS_AGE_MS) return undefined;
    const [calls, retries] = counts;
    return {calls, retries};
  }

  /** Admission by priority to a service whose runners accept fewer calls than are waiting. */
  priorityAdmissionOf(service: string): PriorityAdmission {
    const known = this.priorityAdmissions.get(service);
    if (known) return known;
    const {clock} = this.options;
    const admission = new PriorityAdmission({
      clock,
      windowMs: PRIORITY_WINDOW_MS,
    });
    this.priorityAdmissions.set(service, admission);
    return admission;
  }

  /** Times at which rejected calls of a service are to be retried. */
  retryScheduleOf(service: string): RetrySchedule {
    const known = this.retrySchedules.get(service);
    if (known) return known;
    const schedule = new RetrySchedule(this.options);
    this.retrySchedules.set(service, schedule);
    return schedule;
  }

  /** Work of rejected calls that capacity is promised for, in seconds of slot time, by service, as series of a metric. */
  samplePromisedRetries(): MetricSample[] {
    return [...this.retrySchedules].map(([service, {promisedMs}]) => ({
      labels: {service},
      value: promisedMs / MS_PER_SECOND,
    }));
  }

  /** Retries that this host may still send, by service, as series of a metric. */
  sampleRetryBudgets(): MetricSample[] {
    return [...this.retryBudgets].map(([service, {remaining}]) => ({
      labels: {service},
      value: remaining,
    }));
  }

  /** Tokens that fit into the memory of a runner of the service; undefined for plain services. */
  memoryTokensOf(service: string): number | undefined {
    const {current} = this.options.configuration;
    return current?.services.get(service)?.engine?.memoryTokens;
  }

  /** Cost of a model relative to the cheapest one of its engine; undefined if no engine lists it. */
  costFactorOf(model: string): number | undefined {
    const services =
      this.options.configuration.current?.services.values() ?? [];
    for (const {engine} of services) {
      const cost = engine?.costs.get(model);
      if (engine && cost) return cost / Math.min(...engine.costs.values());
    }
    return undefined;
  }

  /** The next less urgent priority among the service's routes; Infinity if there is none. */
  nextPriorityOf(service: string, priority: number): number {
    const routes = this.options.configuration.current?.routes ?? [];
    const others = routes
      .filter(({targets}) => targets.some(target => target.service === service))
      .map(route => route.priority);
    return Math.min(...others.filter(other => other > priority), Infinity);
  }

  /** Shortest latency target of the service's routes, in ms. */
  latencyTargetOf(service: string): number {
    const routes = this.options.configuration.current?.routes ?? [];
    const targets = routes
      .filter(({targets}) => targets.some(target => target.service === service))
      .map(({latencyTargetMs}) => latencyTargetMs);
    return Math.min(MAX_LATENCY_TARGET_MS, ...targets);
  }
}
