import {Quarantine, SessionVersions} from '@bayspool/decisions/calls';
import type {RunnerRateLimit, RunnerEntry} from '@bayspool/decisions/calls';
import {ConfigurationBelief} from '../beliefs/configuration_belief.js';
import {Cordons} from '../beliefs/cordons.js';
import {RunnerDirectory} from '../beliefs/runner_directory.js';
import type {GatewaySettings} from '../gateway_settings.js';
import type {GatewayMetrics} from '../observability/gateway_metrics.js';
import {HostDirectory} from '../peers/host_directory.js';
import {QuarantineKeeper} from '../quarantine/quarantine_keeper.js';
import {Refusals} from '../records/refusals.js';
import {StoreHealth} from '../records/store_health.js';
import {TopicMirror} from '../records/topic_mirror.js';
import {Topic} from '../records/topic.js';
import {RolloutRegistry} from '../rollouts/rollout_registry.js';
import {RolloutStartRecords} from '../rollouts/rollout_start_records.js';
import {ColdStartBound} from '../runners/cold_start_bound.js';
import {ConnectTimeout} from '../runners/connect_timeout.js';
import {ConnectionPool} from '../runners/connection_pool.js';
import {DeclaredLimitBound} from '../runners/declared_limit_bound.js';
import {PrefixCacheIndex} from '../runners/prefix_cache_index.js';
import {Runner} from '../runners/runner.js';
import {RunnerGate} from '../runners/runner_gate.js';
import {SentCalls} from '../runners/sent_calls.js';
import type {GatewayOptions} from './gateway_options.js';
import {HostLimits} from './host_limits.js';
import {HostLoads} from './host_loads.js';
import {ServiceLimits} from './service_limits.js';

interface Options extends GatewayOptions {
  readonly metrics: GatewayMetrics;
  /** The settings in force. */
  readonly liveSettings: () => GatewaySettings;
}

/**
 * Age of what is known up to which this host counts as in touch, in ms: over the age at which it reads the store
 * itself, and the time that this takes.
 */
const TOUCH_MS = 3_600;

/** How long a call that was sent is remembered, in ms: over the longest window of a bound. */
const SENT_KEPT_MS = 5_000;

/** What a host knows: copies of the store's topics, and what follows from them. */
export class Knowledge {
  /** Copies of the topics. */
  readonly mirrors: Record<Topic, TopicMirror>;
  /** Whether the store answers this host. */
  readonly storeHealth: StoreHealth;
  readonly metrics: GatewayMetrics;
  /** Parts of prompts that runners probably keep. */
  readonly prefixes: PrefixCacheIndex;
  /** The hosts. */
  readonly roster: HostDirectory;
  /** The configuration in force. */
  readonly belief: ConfigurationBelief;
  /** What this host may use of each service. */
  readonly limits: ServiceLimits;
  /** Places that operators keep new calls from. */
  readonly cordons: Cordons;
  /** What keeps requests from runners. */
  readonly gate: RunnerGate;
  /** The runners. */
  readonly directory: RunnerDirectory;
  /** Which version each session has. */
  readonly sessions: SessionVersions;
  /** When roll-outs started. */
  readonly starts: RolloutStartRecords;
  /** The roll-outs. */
  readonly rollouts: RolloutRegistry;
  /** Which requests are held back, as runners ended under them. */
  readonly quarantine: Quarantine;
  /** Keeps that in the store. */
  readonly quarantineKeeper: QuarantineKeeper;
  /** Limits that runners name. */
  readonly hostLimits: HostLimits;
  /** Loads at the runners. */
  readonly loads: HostLoads;
  private readonly patience = new ConnectTimeout();

  constructor(private readonly options: Options) {
    const {settings, liveSettings, clock, ageClock} = options;
    const {log, store, reader} = options;
    this.mirrors = {
      [Topic.OPERATOR]: new TopicMirror(Topic.OPERATOR),
      [Topic.RUNNERS]: new TopicMirror(Topic.RUNNERS),
      [Topic.STATUS]: new TopicMirror(Topic.STATUS),
      [Topic.HOSTS]: new TopicMirror(Topic.HOSTS),
    };
    const {mirrors} = this;
    const freshness = mirrors[Topic.OPERATOR];
    const refusals = new Refusals({log, metrics: options.metrics});
    this.metrics = options.metrics;
    this.prefixes = new PrefixCacheIndex({clock});
    this.storeHealth = new StoreHealth({clock, log});
    this.roster = new HostDirectory({
      clock,
      log,
      mirror: mirrors[Topic.HOSTS],
      refusals,
      self: {
        name: settings.host,
        place: settings.place,
        address: `${settings.ip}:${settings.peerPort}`,
        capacity: settings.capacity,
      },
    });
    this.belief = new ConfigurationBelief({
      clock: ageClock,
      log,
      reader,
      mirror: freshness,
    });
    this.cordons = new Cordons({
      clock: ageClock,
      log,
      reader,
      mirror: freshness,
    });
    this.limits = new ServiceLimits({
      clock,
      belief: this.belief,
      roster: this.roster,
      settings: liveSettings,
      retryWindowMs: settings.retryWindowMs,
    });
    const {cordons} = this;
    const cold = new ColdStartBound({
      clock,
      host: settings.host,
      hostsOf: place => this.roster.listRegisteredIn(place),
      allHosts: () => this.roster.listRegistered(),
      limitsOf: service => this.limits.coldBoundOf(service),
    });
    const named = new DeclaredLimitBound({
      clock,
      host: settings.host,
      hosts: () => (this.roster.isLoaded ? this.roster.listRegistered() : []),
      tolerance: () => limitTolerance(liveSettings()),
    });
    const sent = new SentCalls({clock, retentionMs: SENT_KEPT_MS});
    this.gate = new RunnerGate({cordons, bounds: [cold, named], sent});
    this.directory = new RunnerDirectory({
      clock: ageClock,
      log,
      reader,
      freshness,
      mirror: mirrors[Topic.RUNNERS],
      refusals,
      isCordoned: place => cordons.has(place),
      onGone: id => {
        this.prefixes.removeRunner(id);
        sent.removeRunner(id);
        this.hostLimits.forget(id);
      },
      createRunner: entry => this.createRunner(entry),
    });
    cordons.onChange(() => this.directory.forgetTakers());
    this.starts = new RolloutStartRecords({
      clock,
      refusals,
      store,
      mirror: mirrors[Topic.HOSTS],
    });
    this.sessions = new SessionVersions({
      clock,
      retentionMs: settings.sessionKeptMs,
    });
    this.rollouts = new RolloutRegistry({
      clock,
      log,
      reader,
      refusals,
      sessions: this.sessions,
      orders: freshness,
      states: mirrors[Topic.STATUS],
      isConnected: () => ageClock.now() - freshness.provenAt < TOUCH_MS,
      startRecords: this.starts,
      hostCount: () => this.roster.liveCount,
      exposureBounds: () => {
        const {exposureShare: share, exposureCalls: calls} = liveSettings();
        return {share, calls};
      },
    });
    this.quarantine = new Quarantine({clock});
    const {directory, rollouts, prefixes, quarantine, roster} = this;
    this.quarantineKeeper = new QuarantineKeeper({
      clock,
      log,
      store,
      refusals,
      quarantine,
      mirror: mirrors[Topic.HOSTS],
      host: settings.host,
      hosts: () => roster.listLive().map(({name}) => name),
    });
    this.hostLimits = new HostLimits({clock, log, directory});
    this.loads = new HostLoads({
      clock,
      directory,
      rollouts,
      prefixes,
      quarantine,
    });
  }

  private createRunner(entry: RunnerEntry): Runner {
    const {clock, metrics} = this.options;
    const {service} = entry;
    const pool = new ConnectionPool({
      clock,
      connectTimeout: this.patience,
      address: entry.address,
      maxConnections: () => this.limits.maxConnections(service),
      onOpened: () => metrics.connections.inc({service}),
    });
    return new Runner({
      clock,
      entry,
      pool,
      onReplaced: () => this.directory.forgetTakers(),
      onLimitChange: change => this.hostLimits.noteChange(entry, change),
    });
  }
}

function limitTolerance(
  settings: GatewaySettings,
): Omit<RunnerRateLimit, 'perSecond'> {
  return {
    overage: settings.limitOverage,
    slack: settings.limitSlack,
    windowMs: settings.limitWindowMs,
  };
}
