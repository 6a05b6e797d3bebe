import {
  PartQuarantine,
  Quarantine,
  SessionVersions,
  rankByHash,
} from '@bayspool/decisions/calls';
import type {RunnerRateLimit, RunnerEntry} from '@bayspool/decisions/calls';
import {SilentRunnerMonitor} from '../calls/silent_runner_monitor.js';
import {ActiveConfiguration} from '../discovery/active_configuration.js';
import {CordonRegistry} from '../discovery/cordon_registry.js';
import {RunnerDirectory} from '../discovery/runner_directory.js';
import type {GatewaySettings} from '../gateway_settings.js';
import type {GatewayMetrics} from '../observability/gateway_metrics.js';
import {logAvailabilityChange} from '../observability/log_availability_change.js';
import {HostDirectory} from '../peers/host_directory.js';
import {MembershipView} from '../peers/membership_view.js';
import {QuarantineSynchronizer} from '../quarantine/quarantine_synchronizer.js';
import {RefusedEntryReporter} from '../records/refused_entry_reporter.js';
import {StoreHealth} from '../records/store_health.js';
import {TopicMirror} from '../records/topic_mirror.js';
import {Topic} from '../records/topic.js';
import {RolloutRegistry} from '../rollouts/rollout_registry.js';
import {RolloutStartRecords} from '../rollouts/rollout_start_records.js';
import {BrittleBound} from '../runners/brittle_bound.js';
import {ColdStartBound} from '../runners/cold_start_bound.js';
import {ConnectTimeout} from '../runners/connect_timeout.js';
import {ConnectionPool} from '../runners/connection_pool.js';
import {DeclaredLimitBound} from '../runners/declared_limit_bound.js';
import type {Dialer} from '../runners/dialer.js';
import {LeavingBound} from '../runners/leaving_bound.js';
import {ListenerCheck} from '../runners/listener_check.js';
import {PrefixCacheIndex} from '../runners/prefix_cache_index.js';
import {Runner} from '../runners/runner.js';
import {RunnerReachability} from '../runners/runner_reachability.js';
import {RunnerProbe} from '../runners/runner_probe.js';
import {TcpDialer} from '../runners/tcp_dialer.js';
import {RunnerGate} from '../runners/runner_gate.js';
import {ServiceCapacities} from '../runners/service_capacities.js';
import {RestBound} from '../runners/rest_bound.js';
import {SentCalls} from '../runners/sent_calls.js';
import {StatedAvailabilityRegistry} from '../runners/stated_availability_registry.js';
import {recordExcessBytes} from '../runners/record_excess_bytes.js';
import type {GatewayOptions} from './gateway_options.js';
import {DeclaredLimitExchange} from './declared_limit_exchange.js';
import {LeavingExchange} from './leaving_exchange.js';
import {RoomExchange} from './room_exchange.js';
import {RunnerLoadExchange} from './runner_load_exchange.js';
import {ServiceAdmissions} from './service_admissions.js';
import {ServiceLimits} from './service_limits.js';

interface Options extends GatewayOptions {
  readonly metrics: GatewayMetrics;
  /** The settings in force. */
  readonly currentSettings: () => GatewaySettings;
}

/**
 * Maximum age of the operator's topic for this host to count as connected, in ms: longer than the age at which the host
 * starts to read the store itself plus the time that this takes.
 */
const CONNECTED_MAX_AGE_MS = 3_600;

/** How long sent calls are remembered, in ms: longer than the longest window of a bound. */
const SENT_CALL_TTL_MS = 5_000;

/** A host's state: mirrors of the store's topics, and everything derived from them and from other hosts. */
export class HostState {
  /** Mirrors of the topics. */
  readonly mirrors: Record<Topic, TopicMirror>;
  /** Whether this host can reach the store. */
  readonly storeHealth: StoreHealth;
  readonly metrics: GatewayMetrics;
  /** Prompt parts that runners probably have in their prefix caches. */
  readonly prefixes: PrefixCacheIndex;
  /** The known hosts. */
  readonly hostDirectory: HostDirectory;
  /** What this host knows of which hosts there are, where a bound over all hosts is divided. */
  readonly membership: MembershipView;
  /** The active configuration. */
  readonly configuration: ActiveConfiguration;
  /** This host's limits for each service. */
  readonly serviceLimits: ServiceLimits;
  /** Places that operators cordoned. */
  readonly cordons: CordonRegistry;
  /** Decides which runners calls are withheld from. */
  readonly runnerGate: RunnerGate;
  /** The known runners. */
  readonly directory: RunnerDirectory;
  /** The version that each session uses. */
  readonly sessions: SessionVersions;
  /** Start times of rollouts. */
  readonly rolloutStarts: RolloutStartRecords;
  /** The rollouts. */
  readonly rollouts: RolloutRegistry;
  /** Requests that are quarantined because runners crashed under them. */
  readonly quarantine: Quarantine;
  /** Parts of prompts that are quarantined because runners crashed on them. */
  readonly partQuarantine: PartQuarantine;
  /** Persists the quarantine in the store. */
  readonly quarantineSynchronizer: QuarantineSynchronizer;
  /** Limits that runners declare. */
  readonly declaredLimits: DeclaredLimitExchange;
  /** Room at brittle runners. */
  readonly runnerRooms: RoomExchange;
  /** Runners that stated that they are leaving. */
  readonly leavingRunners: LeavingExchange;
  /** What runners state of their availability. */
  readonly statedAvailabilities: StatedAvailabilityRegistry;
  /** Admission control of each service. */
  readonly admissions: ServiceAdmissions;
  /** Loads at the runners over all hosts. */
  readonly runnerLoads: RunnerLoadExchange;
  /** What the runners of each service can take. */
  readonly serviceCapacities: ServiceCapacities;
  /** Whether this host reaches any runner. */
  readonly reachability: RunnerReachability;
  /** Learns of runners that end without closing their connections. */
  readonly silentRunners: SilentRunnerMonitor;
  private readonly dialer: Dialer;
  private readonly connectTimeout = new ConnectTimeout();

  constructor(private readonly options: Options) {
    const {settings, currentSettings, clock, ageClock, random} = options;
    const {log, store, reader} = options;
    this.mirrors = {
      [Topic.OPERATOR]: new TopicMirror(Topic.OPERATOR),
      [Topic.RUNNERS]: new TopicMirror(Topic.RUNNERS),
      [Topic.STATUS]: new TopicMirror(Topic.STATUS),
      [Topic.HOSTS]: new TopicMirror(Topic.HOSTS),
    };
    const {mirrors} = this;
    const operatorMirror = mirrors[Topic.OPERATOR];
    const refusedEntries = new RefusedEntryReporter({
      log,
      metrics: options.metrics,
    });
    this.metrics = options.metrics;
    this.dialer = options.dialer ?? new TcpDialer();
    this.reachability = this.createReachability();
    this.silentRunners = this.createSilentRunnerMonitor();
    this.prefixes = new PrefixCacheIndex({clock});
    this.storeHealth = new StoreHealth({clock, log});
    this.statedAvailabilities = new StatedAvailabilityRegistry({
      clock,
      onChange: (entry, change) => logAvailabilityChange(log, entry, change),
    });
    this.hostDirectory = new HostDirectory({
      clock,
      log,
      mirror: mirrors[Topic.HOSTS],
      refusedEntries,
      self: {
        name: settings.host,
        place: settings.place,
        address: `${settings.ip}:${settings.peerPort}`,
        relayAddress:
          settings.relayPort === undefined
            ? undefined
            : `${settings.ip}:${settings.relayPort}`,
        capacity: settings.capacity,
      },
    });
    this.membership = new MembershipView({
      clock: ageClock,
      log,
      mirror: mirrors[Topic.HOSTS],
      hostDirectory: this.hostDirectory,
    });
    this.configuration = new ActiveConfiguration({
      clock: ageClock,
      log,
      reader,
      mirror: operatorMirror,
    });
    this.cordons = new CordonRegistry({
      clock: ageClock,
      log,
      reader,
      mirror: operatorMirror,
    });
    this.serviceLimits = new ServiceLimits({
      clock,
      random,
      configuration: this.configuration,
      membership: this.membership,
      currentSettings,
      retryWindowMs: settings.retryWindowMs,
    });
    const {cordons} = this;
    const coldStartBound = new ColdStartBound({
      clock,
      host: settings.host,
      hostsOf: place => this.membership.listSharersIn(place),
      allHosts: () => this.membership.listSharers(),
      limitsOf: service => this.serviceLimits.coldStartLimitOf(service),
    });
    const declaredLimitBound = new DeclaredLimitBound({
      clock,
      host: settings.host,
      hosts: () => this.membership.listSharers(),
      tolerance: () => getLimitTolerance(currentSettings()),
    });
    const brittleBound = new BrittleBound({
      clock,
      host: settings.host,
      hosts: () => this.membership.listSharers(),
    });
    const sentCalls = new SentCalls({clock, retentionMs: SENT_CALL_TTL_MS});
    this.runnerGate = new RunnerGate({
      cordons,
      bounds: [
        new LeavingBound(),
        new RestBound(),
        brittleBound,
        coldStartBound,
        declaredLimitBound,
      ],
      sent: sentCalls,
    });
    this.directory = new RunnerDirectory({
      clock: ageClock,
      log,
      reader,
      freshnessMirror: operatorMirror,
      mirror: mirrors[Topic.RUNNERS],
      refusedEntries,
      isCordoned: place => cordons.has(place),
      onRemoved: (id, runner, isRestarted) => {
        this.silentRunners.noteRemoved(runner, isRestarted);
        this.prefixes.removeRunner(id);
        sentCalls.removeRunner(id);
        this.declaredLimits.removeRunner(id);
      },
      createRunner: entry => this.createRunner(entry),
    });
    cordons.onChange(() => this.directory.invalidateAccepting());
    this.rolloutStarts = new RolloutStartRecords({
      clock,
      refusedEntries,
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
      refusedEntries,
      sessions: this.sessions,
      orders: operatorMirror,
      states: mirrors[Topic.STATUS],
      isConnected: () =>
        ageClock.now() - operatorMirror.freshAsOf < CONNECTED_MAX_AGE_MS,
      startRecords: this.rolloutStarts,
      sharerCount: () => this.membership.hosts,
      retriesLeft: service =>
        this.serviceLimits.retryBudgetOf(service).remaining,
      exposureBounds: () => {
        const {exposureShare: share, exposureCalls: calls} = currentSettings();
        return {share, calls};
      },
    });
    this.quarantine = new Quarantine({
      clock,
      rankOf: fingerprint => this.rankHost(fingerprint),
      isDoubtful: () => this.reachability.isInDoubt,
    });
    this.partQuarantine = new PartQuarantine({clock});
    this.partQuarantine.onChange({
      onQuarantined: (part, ends) =>
        log.write('part_quarantined', {part, ends}),
      onReleased: (part, reason) => log.write('part_released', {part, reason}),
    });
    const {directory, rollouts, prefixes, quarantine, hostDirectory} = this;
    this.quarantineSynchronizer = new QuarantineSynchronizer({
      clock,
      log,
      store,
      refusedEntries,
      quarantine,
      mirror: mirrors[Topic.HOSTS],
      host: settings.host,
      listLiveHosts: () => hostDirectory.listLive().map(({name}) => name),
    });
    this.declaredLimits = new DeclaredLimitExchange({clock, log, directory});
    this.runnerRooms = new RoomExchange({log, directory});
    this.leavingRunners = new LeavingExchange({
      directory,
      availabilities: this.statedAvailabilities,
    });
    const {serviceLimits} = this;
    const isEngine = (service: string) =>
      serviceLimits.memoryTokensOf(service) !== undefined;
    this.serviceCapacities = new ServiceCapacities({
      clock,
      directory,
      isEngine,
      lostPlaces: () => hostDirectory.findLostPlaces(),
      isWithheld: runner => this.runnerGate.isWithheld(runner),
      coldCallsPerSecondOf: service =>
        serviceLimits.coldStartLimitOf(service)?.perSecond,
      loadsAgeMs: () => this.runnerLoads.ageMs,
    });
    this.admissions = new ServiceAdmissions({
      clock,
      log,
      isEngine,
      capacities: this.serviceCapacities,
      hosts: () => hostDirectory.respondingCount,
    });
    this.runnerLoads = new RunnerLoadExchange({
      clock,
      admissions: this.admissions,
      directory,
      rollouts,
      prefixes,
      quarantine,
      partQuarantine: this.partQuarantine,
      serviceLimits: this.serviceLimits,
    });
  }

  /** Position of this host in an order of the live hosts that all of them derive from a key, from 0. */
  private rankHost(key: string): number {
    const names = this.hostDirectory.listLive().map(({name}) => name);
    const rank = rankByHash(key, names).indexOf(this.options.settings.host);
    return rank < 0 ? names.length : rank;
  }

  private createReachability(): RunnerReachability {
    const {clock, log, random} = this.options;
    const {dialer} = this;
    const probe = new RunnerProbe({
      clock,
      dialer,
      healthPathOf: service =>
        this.configuration.current?.services.get(service)?.healthPath ?? '/',
    });
    return new RunnerReachability({
      clock,
      log,
      random,
      runners: () => this.directory.all(),
      isWithheld: runner => this.runnerGate.isWithheld(runner),
      probe: runner => probe.probe(runner),
    });
  }

  private createSilentRunnerMonitor(): SilentRunnerMonitor {
    const {clock, log, metrics} = this.options;
    const {dialer} = this;
    const listenerCheck = new ListenerCheck({clock, dialer});
    return new SilentRunnerMonitor({
      clock,
      log,
      metrics,
      checkListener: address => listenerCheck.check(address),
      runners: () => this.directory.all(),
      whenConfirmed: (runner, apply) =>
        this.reachability.whenConfirmed(runner, apply),
      onReturned: start => {
        this.quarantine.retractCrash(start);
        this.partQuarantine.retractCrash(start);
      },
    });
  }

  private createRunner(entry: RunnerEntry): Runner {
    this.silentRunners.noteEntered(entry);
    const {clock, log, metrics} = this.options;
    const {dialer} = this;
    const {service} = entry;
    const pool = new ConnectionPool({
      clock,
      connectTimeout: this.connectTimeout,
      address: entry.address,
      maxConnections: () => this.serviceLimits.maxConnections(service),
      dialer,
      onOpened: () => metrics.openedConnections.inc({service}),
      onExcessBytes: () =>
        recordExcessBytes({log, metrics, runner: this.directory.get(entry.id)}),
    });
    const runner: Runner = new Runner({
      clock,
      entry,
      pool,
      availability: this.statedAvailabilities.get(entry),
      onHeard: () => this.reachability.recordHeard(entry.id),
      onReplaced: () => {
        this.directory.invalidateAccepting();
        this.silentRunners.noteReplaced(runner);
      },
      onRoomChange: change => this.runnerRooms.recordChange(entry, change),
      onLimitChange: change => this.declaredLimits.recordChange(entry, change),
    });
    return runner;
  }
}

function getLimitTolerance(
  settings: GatewaySettings,
): Omit<RunnerRateLimit, 'perSecond'> {
  return {
    overage: settings.limitOverage,
    slack: settings.limitSlack,
    windowMs: settings.limitWindowMs,
  };
}
