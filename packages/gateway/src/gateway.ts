import {isDeepStrictEqual} from 'node:util';
import {ModelCascade} from '@bayspool/decisions/calls';
import {DurationEstimator} from '@bayspool/decisions/capacity';
import {ConnectionReads, RequestPacer} from '@bayspool/kernel';
import type {Timer} from '@bayspool/kernel';
import {CallServer} from './calls/call_server.js';
import type {CallForwarder} from './calls/call_forwarder.js';
import {HeldBytes} from './calls/held_bytes.js';
import type {GatewaySettings} from './gateway_settings.js';
import {GracefulShutdown} from './lifecycle/graceful_shutdown.js';
import {StopAdmission} from './lifecycle/stop_admission.js';
import {StopSchedule} from './lifecycle/stop_schedule.js';
import {MetricsServer} from './lifecycle/metrics_server.js';
import {ReadinessServer} from './lifecycle/readiness_server.js';
import {StallDetector} from './lifecycle/stall_detector.js';
import {GatewayMetrics} from './observability/gateway_metrics.js';
import {WorkShare} from './calls/work_share.js';
import {EventLoopLag} from './observability/event_loop_lag.js';
import {createCallForwarder} from './host/create_call_forwarder.js';
import {StateSynchronizer} from './host/state_synchronizer.js';
import type {GatewayOptions} from './host/gateway_options.js';
import {HostRegistration} from './host/host_registration.js';
import {HostState} from './host/host_state.js';
import {PacingRecorder} from './observability/pacing_recorder.js';
import {registerGauges} from './observability/register_gauges.js';
import {Topic} from './records/topic.js';
import {ServingPeers} from './peers/serving_peers.js';
import {RelayAdmission} from './relay/relay_admission.js';
import {RelayHostRegistry} from './relay/relay_host_registry.js';
import {RolloutController} from './rollouts/rollout_controller.js';

/** Margin below the bound on withdrawn keys, in ms, for network latency and late timers. */
const KEY_BOUND_MARGIN_MS = 400;
/**
 * How long before it has to reject keys an isolated host reports not ready, in ms: two health checks of the load
 * balancer, a second apart, after which it sends callers to places that can serve them.
 */
const BALANCER_NOTICE_MS = 2_000;
/** Interval of the periodic maintenance, such as closing idle connections, in ms. */
const MAINTENANCE_INTERVAL_MS = 1_000;

/** Routes calls to runners; composes everything that runs on one host. */
export class Gateway {
  readonly metrics: GatewayMetrics;
  private readonly state: HostState;
  private readonly stateSynchronizer: StateSynchronizer;
  private readonly eventLoopLag: EventLoopLag;
  private readonly heldBytes: HeldBytes;
  private readonly connectionReads: ConnectionReads;
  private readonly stallDetector: StallDetector;
  private readonly rolloutController: RolloutController;
  private readonly callServer: CallServer;
  /** Takes calls that other hosts relay; absent if there is no port for them. */
  private readonly relayServer: CallServer | undefined;
  private readonly relayHosts: RelayHostRegistry;
  private readonly readinessServer: ReadinessServer;
  private readonly metricsServer: MetricsServer;
  private readonly stopSchedule: StopSchedule;
  /** How long calls take to the end of their responses. */
  private readonly durations = new DurationEstimator();
  private readonly cascade = new ModelCascade();
  /** Bounds what connections make this host hold before their requests are handled. */
  private readonly pacer: RequestPacer;
  /** Whether other hosts take new callers. */
  private readonly servingPeers: ServingPeers;
  private readonly stopAdmission: StopAdmission;
  private readonly gracefulShutdown: GracefulShutdown;
  private readonly hostRegistration: HostRegistration;
  private startup: Promise<void> = Promise.resolve();
  private maintenanceTimer: Timer | undefined;
  private wasFresh = false;
  private wasReady = false;
  private settings: GatewaySettings;

  constructor(private readonly options: GatewayOptions) {
    const {settings, clock, log, store} = options;
    this.settings = settings;
    this.metrics = options.metrics ?? new GatewayMetrics();
    const {maxRequestBytes, maxUnparsedBytes} = settings;
    this.pacer = new RequestPacer({maxRequestBytes, maxUnparsedBytes});
    new PacingRecorder({clock, log, metrics: this.metrics, pacer: this.pacer});
    this.state = new HostState({
      ...options,
      metrics: this.metrics,
      currentSettings: () => this.settings,
    });
    this.stopSchedule = new StopSchedule({
      clock,
      lateMs: () => this.stallDetector.lateMs,
    });
    this.servingPeers = new ServingPeers({
      clock: options.ageClock,
      place: settings.place,
      // Cut off, this host only sends its callers on to others.
      isServing: () =>
        this.isTakingCallers && !this.state.reachability.isCutOff,
      findLastStall: () => this.stallDetector.lastStall,
    });
    this.stopAdmission = new StopAdmission({
      ...options,
      metrics: this.metrics,
      schedule: this.stopSchedule,
      durations: this.durations,
      firstModelOf: route =>
        route.models.length > 0
          ? this.cascade.predictFirstModel(route)
          : undefined,
      // What the load balancer does is known from when the signal was handled, what callers send counts from when it came.
      isClosing: () => this.stopSchedule.haveCallersTurned,
      doOthersServe: () => this.servingPeers.isAnyServing,
    });
    this.eventLoopLag = new EventLoopLag({clock});
    this.heldBytes = new HeldBytes({
      clock,
      log,
      maxBytes: () => this.settings.maxHeldBytes,
    });
    this.connectionReads = new ConnectionReads({clock: options.ageClock});
    this.stallDetector = new StallDetector({
      log,
      clock: options.ageClock,
      configurationChangedAt: () => this.state.configuration.changedAt,
    });
    const {durations} = this;
    this.stateSynchronizer = new StateSynchronizer(
      {
        ...options,
        durations,
        servingPeers: this.servingPeers,
        pacer: this.pacer,
      },
      this.state,
    );
    const {hostDirectory} = this.state;
    this.hostRegistration = new HostRegistration({
      clock,
      log,
      store,
      mirror: this.state.mirrors[Topic.HOSTS],
      self: hostDirectory.self,
      onEntered: isNew => this.state.membership.recordEntered(isNew),
    });
    this.rolloutController = this.createRolloutController();
    this.relayHosts = new RelayHostRegistry({
      clock,
      hostDirectory,
      random: options.random,
      regionOf: settings.regionOf,
    });
    const forwarder = createCallForwarder({
      ...options,
      state: this.state,
      metrics: this.metrics,
      connectionReads: this.connectionReads,
      workShare: new WorkShare(options),
      stopSchedule: this.stopSchedule,
      stopAdmission: this.stopAdmission,
      durations: this.durations,
      cascade: this.cascade,
      relayHosts: this.relayHosts,
    });
    this.callServer = this.createCallServer(forwarder, settings.callerPort);
    if (settings.relayPort !== undefined)
      this.relayServer = this.createRelayServer(forwarder, settings.relayPort);
    this.gracefulShutdown = new GracefulShutdown({
      clock,
      log,
      callServers: this.callServers,
      schedule: this.stopSchedule,
      stopAdmission: this.stopAdmission,
      // Whoever called `start` is told of its failure.
      startup: () => this.startup.catch(() => undefined),
      graceMs: () => this.settings.graceMs,
    });
    this.readinessServer = new ReadinessServer({
      pacer: this.pacer,
      ip: settings.ip,
      port: settings.readinessPort,
      path: settings.readinessPath,
      isReady: () => this.isReady(),
    });
    this.metricsServer = new MetricsServer({
      clock,
      pacer: this.pacer,
      ip: settings.ip,
      port: settings.metricsPort,
      path: settings.metricsPath,
      registry: this.metrics.registry,
    });
    registerGauges({
      ...this.state,
      log,
      metrics: this.metrics,
      eventLoopLag: this.eventLoopLag,
      callServer: this.callServer,
      heldBytes: this.heldBytes,
      peerSynchronizer: this.stateSynchronizer.peerSynchronizer,
    });
  }

  /** Number of calls that have no complete response yet. */
  get openCalls(): number {
    return this.gracefulShutdown.openCalls;
  }

  /**
   * Starts serving; the host becomes ready once the configuration and runners are known. Ends early if the host is told
   * to shut down meanwhile.
   */
  start(): Promise<void> {
    this.startup = this.runStartup();
    return this.startup;
  }

  private async runStartup(): Promise<void> {
    const {log, settings} = this.options;
    for (const startServer of this.serverStarts) {
      if (this.gracefulShutdown.hasStarted) return;
      await startServer();
    }
    if (this.gracefulShutdown.hasStarted) return;
    void this.stateSynchronizer
      .startFollowing()
      .then(() => this.hostRegistration.run());
    this.rolloutController.start();
    this.eventLoopLag.start();
    this.stallDetector.start();
    this.runMaintenance();
    log.write('process_started', {
      host: settings.host,
      place: settings.place,
      pid: process.pid,
      program: 'gateway',
      configurationKnown: this.state.configuration.current !== undefined,
      forMs: Math.round(process.uptime() * 1000),
    });
  }

  /**
   * Applies changed settings without a restart. Addresses and names change only at the next start, because other
   * hosts know the current ones.
   */
  applySettings(next: GatewaySettings, reason: string): void {
    const changed = Object.entries(next)
      .filter(
        ([name, value]) =>
          !isDeepStrictEqual(this.settings[name as never], value),
      )
      .map(([name]) => name);
    this.settings = next;
    this.options.log.write('settings_reloaded', {
      reason,
      changed: changed.join(' '),
    });
  }

  /** Shuts down gracefully within the grace period. */
  async shutDown(reason: string): Promise<void> {
    this.hostRegistration.stop();
    const stopped = this.gracefulShutdown.run(reason);
    this.stateSynchronizer.peerSynchronizer.announceStop();
    await stopped;
    this.stopImmediately();
  }

  /** Stops immediately; open calls are aborted. */
  stopImmediately(): void {
    this.hostRegistration.stop();
    this.stateSynchronizer.stopFollowing();
    this.rolloutController.stop();
    this.state.quarantineSynchronizer.stop();
    this.maintenanceTimer?.cancel();
    this.eventLoopLag.stop();
    this.stallDetector.stop();
    this.stateSynchronizer.close();
    this.readinessServer.stop();
    this.metricsServer.stop();
    for (const server of this.callServers) server.stop();
    this.state.reachability.stop();
    this.state.silentRunners.stop();
  }

  /** Starts of all servers, in their order. */
  private get serverStarts(): ReadonlyArray<() => Promise<void>> {
    const {log} = this.options;
    return [
      () => this.readinessServer.start(),
      () => this.stateSynchronizer.listen(),
      ...this.callServers.map(server => () => server.start()),
      () =>
        this.metricsServer.start().catch(error => {
          log.write('unexpected', {where: 'metrics', message: String(error)});
        }),
    ];
  }

  private get callServers(): readonly CallServer[] {
    return this.relayServer
      ? [this.callServer, this.relayServer]
      : [this.callServer];
  }

  /** Whether this host is ready for callers. */
  private get isTakingCallers(): boolean {
    const {configuration, directory, rollouts} = this.state;
    return (
      !this.gracefulShutdown.hasStarted &&
      rollouts.areAgesKnown &&
      !this.willRefuseKeysSoon &&
      configuration.current !== undefined &&
      directory.all().length > 0 &&
      configuration.ageMs < this.maxKeyAgeMs()
    );
  }

  /** Answers the load balancer, and logs a change. */
  private isReady(): boolean {
    const {configuration} = this.state;
    const isReady = this.isTakingCallers;
    if (isReady !== this.wasReady) {
      this.wasReady = isReady;
      const reason = this.gracefulShutdown.hasStarted
        ? 'leaving'
        : `configuration ${configuration.current?.version ?? 'unknown'}, age ${Math.round(configuration.ageMs)} ms`;
      this.options.log.write('readiness_changed', {isReady, reason});
    }
    return isReady;
  }

  /** Whether this host will soon reject keys because its place is isolated from the store and all other places. */
  private get willRefuseKeysSoon(): boolean {
    if (this.settings.honoursStaleKeys) return false;
    const {configuration, hostDirectory} = this.state;
    const notReadyAtMs = this.freshnessBoundMs - BALANCER_NOTICE_MS;
    return configuration.ageMs > notReadyAtMs && hostDirectory.isIsolated;
  }

  /** Maximum age of the configuration at which keys are accepted, in ms. */
  private maxKeyAgeMs(): number {
    const {honoursStaleKeys} = this.settings;
    return honoursStaleKeys ? Infinity : this.freshnessBoundMs;
  }

  /** Age of the configuration above which a key may have been withdrawn for longer than the platform allows, in ms. */
  private get freshnessBoundMs(): number {
    return this.settings.keyBoundMs - KEY_BOUND_MARGIN_MS;
  }

  private createRolloutController(): RolloutController {
    const {ageClock, log, store, reader, settings} = this.options;
    const {mirrors, hostDirectory, rollouts, runnerLoads, rolloutStarts} =
      this.state;
    return new RolloutController({
      clock: ageClock,
      log,
      store,
      reader,
      rollouts,
      states: mirrors[Topic.STATUS],
      host: settings.host,
      listLiveHosts: () => hostDirectory.listLive().map(({name}) => name),
      countOldRunning: rollout => runnerLoads.countOldRunning(rollout),
      recordStart: rollout => rolloutStarts.save(rollout),
    });
  }

  private createRelayServer(
    forwarder: CallForwarder,
    port: number,
  ): CallServer {
    const admission = new RelayAdmission({
      reachability: this.state.reachability,
      isClosing: () => this.gracefulShutdown.isClosing,
      openCalls: () => this.relayServer?.openCalls ?? 0,
    });
    return this.createCallServer(forwarder, port, admission);
  }

  private createCallServer(
    forwarder: CallForwarder,
    port: number,
    relayAdmission?: RelayAdmission,
  ): CallServer {
    const {clock, random, log, headerNames, settings} = this.options;
    const {configuration} = this.state;
    return new CallServer({
      pacer: this.pacer,
      clock,
      random,
      log,
      headerNames,
      metrics: this.metrics,
      configuration,
      forwarder,
      heldBytes: this.heldBytes,
      connectionReads: this.connectionReads,
      stopAdmission: this.stopAdmission,
      relayAdmission,
      port,
      ip: settings.ip,
      maxKeyAgeMs: () => this.maxKeyAgeMs(),
      maxDenialAgeMs: () => this.settings.configurationBoundMs,
      mayPredateConfiguration: () =>
        this.stallDetector.mayPredateConfiguration(),
      isClosing: () => this.gracefulShutdown.hasStarted,
    });
  }

  private runMaintenance(): void {
    const {clock, log} = this.options;
    const {configuration, directory, quarantine, partQuarantine} = this.state;
    this.maintenanceTimer = clock.after(MAINTENANCE_INTERVAL_MS, () =>
      this.runMaintenance(),
    );
    for (const {pool} of directory.all()) pool.closeExpired();
    this.relayHosts.closeExpired();
    quarantine.review();
    partQuarantine.review();
    const ageMs = Math.round(configuration.ageMs);
    const boundMs = this.freshnessBoundMs;
    const isFresh = ageMs <= boundMs;
    if (isFresh === this.wasFresh) return;
    this.wasFresh = isFresh;
    if (isFresh) log.write('freshness_regained', {ageMs});
    else
      log.write('freshness_lost', {
        ageMs,
        boundMs,
        keys: this.settings.honoursStaleKeys ? 'honoured' : 'refused',
      });
  }
}
