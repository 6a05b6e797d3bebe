import {SharedRetryBudget, PriorityAdmission} from '@bayspool/decisions/calls';
import type {RunnerRateLimit} from '@bayspool/decisions/calls';
import type {Clock} from '@bayspool/kernel';
import type {ActiveConfiguration} from '../discovery/active_configuration.js';
import type {GatewaySettings} from '../gateway_settings.js';
import type {MetricSample} from '../observability/metric_sample.js';
import type {HostDirectory} from '../peers/host_directory.js';

interface Options {
  readonly clock: Clock;
  readonly configuration: ActiveConfiguration;
  readonly hostDirectory: HostDirectory;
  /** The settings in force. */
  readonly currentSettings: () => GatewaySettings;
  /** Window over which retries are counted, in ms; fixed at the start. */
  readonly retryWindowMs: number;
}

/** Part of a runner's connections that all hosts together open. */
const CONNECTION_FRACTION = 0.9;
/** Connections a host may open to a runner whatever its share is. */
const MIN_CONNECTIONS = 3;
/** Window in which the platform counts calls to a cold runner, in ms. */
const COLD_START_WINDOW_MS = 1_000;
/** Window over which room for urgent calls is kept, in ms: about that of the limits that runners name. */
const PRIORITY_WINDOW_MS = 4_000;
/** Latency target of services that no route names, in ms. */
const MAX_LATENCY_TARGET_MS = 10_000;

/** What this host may use of each service, by the configuration and the number of hosts. */
export class ServiceLimits {
  private readonly retryBudgets = new Map<string, SharedRetryBudget>();
  private readonly priorityAdmissions = new Map<string, PriorityAdmission>();

  private readonly startedAt: number;

  constructor(private readonly options: Options) {
    this.startedAt = options.clock.now();
  }

  /** Connections that this host may hold to a runner of the service. */
  maxConnections(service: string): number {
    const all =
      this.options.configuration.current?.services.get(service)?.maxConnections;
    if (all === undefined) return MIN_CONNECTIONS;
    const share =
      (all * CONNECTION_FRACTION) / this.options.hostDirectory.liveCount;
    return Math.max(MIN_CONNECTIONS, Math.floor(share));
  }

  /** What runners of the service bear while they are slow from their start; undefined if nothing bounds it. */
  coldStartLimitOf(service: string): RunnerRateLimit | undefined {
    const {configuration: belief, currentSettings: settings} = this.options;
    const perSecond = belief.current?.services.get(service)?.coldCallsPerSecond;
    if (perSecond === undefined) return undefined;
    const {coldOverage: overage, coldSlack: slack} = settings();
    return {perSecond, overage, slack, windowMs: COLD_START_WINDOW_MS};
  }

  /** The retry budget of a service. */
  retryBudgetOf(service: string): SharedRetryBudget {
    const known = this.retryBudgets.get(service);
    if (known) return known;
    const {
      clock,
      currentSettings: settings,
      retryWindowMs,
      hostDirectory: roster,
    } = this.options;
    const budget = new SharedRetryBudget({
      clock,
      ratio: () => settings().retryRatio,
      extra: () => settings().retryExtra,
      startedAt: this.startedAt,
      windowMs: retryWindowMs,
      hosts: () => roster.peakLiveCount,
    });
    this.retryBudgets.set(service, budget);
    return budget;
  }

  /** Who gets what runners of a service take, where that is less than is wanted. */
  priorityAdmissionOf(service: string): PriorityAdmission {
    const known = this.priorityAdmissions.get(service);
    if (known) return known;
    const {clock} = this.options;
    const rule = new PriorityAdmission({clock, windowMs: PRIORITY_WINDOW_MS});
    this.priorityAdmissions.set(service, rule);
    return rule;
  }

  /** Repeats that this host may still send, by service. */
  sampleRetryBudgets(): MetricSample[] {
    return [...this.retryBudgets].map(([service, {remaining: left}]) => ({
      labels: {service},
      value: left,
    }));
  }

  /** What a model costs over the cheapest one of its engine; undefined if no engine tells. */
  costFactorOf(model: string): number | undefined {
    const services =
      this.options.configuration.current?.services.values() ?? [];
    for (const {engine} of services) {
      const cost = engine?.costs.get(model);
      if (engine && cost) return cost / Math.min(...engine.costs.values());
    }
    return undefined;
  }

  /** The shortest latency target of a service's routes, in ms. */
  latencyTargetOf(service: string): number {
    const routes = this.options.configuration.current?.routes ?? [];
    const targets = routes
      .filter(({targets}) => targets.some(target => target.service === service))
      .map(({latencyTargetMs}) => latencyTargetMs);
    return Math.min(MAX_LATENCY_TARGET_MS, ...targets);
  }
}
