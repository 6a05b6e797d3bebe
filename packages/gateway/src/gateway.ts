import {isDeepStrictEqual} from 'node:util';
import {ModelCascade} from '@bayspool/decisions/calls';
import type {Timer} from '@bayspool/kernel';
import {CallCandidates} from './calls/call_candidates.js';
import {CallServer} from './calls/call_server.js';
import {CallForwarder} from './calls/call_forwarder.js';
import type {GatewaySettings} from './gateway_settings.js';
import {Leaving} from './lifecycle/leaving.js';
import {MetricsServer} from './lifecycle/metrics_server.js';
import {ReadinessServer} from './lifecycle/readiness_server.js';
import {StandstillWatch} from './lifecycle/standstill_watch.js';
import {GatewayMetrics} from './observability/gateway_metrics.js';
import {LoopLag} from './observability/loop_lag.js';
import {Exchange} from './parts/exchange.js';
import type {GatewayOptions} from './parts/gateway_options.js';
import {HostRegistration} from './parts/host_registration.js';
import {Knowledge} from './parts/knowledge.js';
import {observeParts} from './parts/observe_parts.js';
import {Topic} from './records/topic.js';
import {RolloutController} from './rollouts/rollout_controller.js';
import {RunnerSubset} from './runners/runner_subset.js';
import {PrefillRates} from './runners/prefill_rates.js';
import {RunnerChooser} from './runners/runner_chooser.js';

/** Kept back from the bound on withdrawn keys, for the way of a request and slow timers, in ms. */
const KEY_MARGIN_MS = 400;
/**
 * How long before it has to refuse keys a host that reaches no other place says that it is not ready, in ms: two
 * looks of a balancer, a second apart, after which it sends callers to places that will serve them.
 */
const BALANCER_NOTICE_MS = 2_000;
/** Pause between two rounds of closing rested connections, in ms. */
const SWEEP_MS = 1_000;

/** Forwards routed calls: everything that one host runs. */
export class Gateway {
  readonly metrics = new GatewayMetrics();
  private readonly knowledge: Knowledge;
  private readonly exchange: Exchange;
  private readonly lag: LoopLag;
  private readonly standstill: StandstillWatch;
  private readonly writer: RolloutController;
  private readonly door: CallServer;
  private readonly readiness: ReadinessServer;
  private readonly metricsServer: MetricsServer;
  private readonly leaving: Leaving;
  private readonly registration: HostRegistration;
  private sweepTimer: Timer | undefined;
  private wasFresh = false;
  private wasReady = false;
  private settings: GatewaySettings;

  constructor(private readonly options: GatewayOptions) {
    const {settings, clock, log, store} = options;
    this.settings = settings;
    this.knowledge = new Knowledge({
      ...options,
      metrics: this.metrics,
      liveSettings: () => this.settings,
    });
    this.lag = new LoopLag({clock});
    this.standstill = new StandstillWatch({
      log,
      clock: options.ageClock,
      changedAt: () => this.knowledge.belief.changedAt,
    });
    this.exchange = new Exchange(options, this.knowledge);
    const {roster} = this.knowledge;
    this.registration = new HostRegistration({
      clock,
      log,
      store,
      mirror: this.knowledge.mirrors[Topic.HOSTS],
      self: roster.self,
    });
    this.writer = this.createWriter();
    this.door = this.createDoor();
    this.leaving = new Leaving({
      clock,
      log,
      door: this.door,
      graceMs: () => this.settings.graceMs,
    });
    this.readiness = new ReadinessServer({
      ip: settings.ip,
      port: settings.readinessPort,
      path: settings.readinessPath,
      isReady: () => this.isReady(),
    });
    this.metricsServer = new MetricsServer({
      ip: settings.ip,
      port: settings.metricsPort,
      path: settings.metricsPath,
      registry: this.metrics.registry,
    });
    observeParts({
      ...this.knowledge,
      log,
      metrics: this.metrics,
      lag: this.lag,
      door: this.door,
      news: this.exchange.news,
    });
  }

  /** Starts to serve; readiness follows when configuration and runners are known. */
  async start(): Promise<void> {
    const {log, settings} = this.options;
    await this.readiness.start();
    await this.exchange.listen();
    await this.door.start();
    await this.metricsServer.start().catch(error => {
      log.write('unexpected', {where: 'metrics', message: String(error)});
    });
    void this.exchange.follow().then(() => this.registration.run());
    this.writer.start();
    this.lag.start();
    this.standstill.start();
    this.sweep();
    log.write('process_started', {
      host: settings.host,
      place: settings.place,
      pid: process.pid,
      program: 'gateway',
      configurationKnown: this.knowledge.belief.current !== undefined,
      forMs: Math.round(process.uptime() * 1000),
    });
  }

  /**
   * Takes over changed bounds without a restart. Addresses and names hold until the next start, as
   * others know them.
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

  /** Stops in good order within the grace period. */
  async leave(reason: string): Promise<void> {
    await this.leaving.run(reason);
    this.halt();
  }

  /** Stops at once; open calls are cut. */
  halt(): void {
    this.registration.stop();
    this.exchange.unfollow();
    this.writer.stop();
    this.knowledge.quarantineKeeper.stop();
    this.sweepTimer?.cancel();
    this.lag.stop();
    this.standstill.stop();
    this.exchange.close();
    this.readiness.stop();
    this.metricsServer.stop();
    this.door.stop();
  }

  private isReady(): boolean {
    const {belief, directory, rollouts} = this.knowledge;
    const isReady =
      !this.leaving.hasBegun &&
      rollouts.areAgesKnown &&
      !this.isCutOff &&
      belief.current !== undefined &&
      directory.all().length > 0 &&
      belief.ageMs < this.maxKeyAgeMs();
    if (isReady !== this.wasReady) {
      this.wasReady = isReady;
      const reason = this.leaving.hasBegun
        ? 'leaving'
        : `configuration ${belief.current?.version ?? 'unknown'}, age ${Math.round(belief.ageMs)} ms`;
      this.options.log.write('readiness_changed', {isReady, reason});
    }
    return isReady;
  }

  /** Whether this host will refuse keys soon, since its place is cut off from the store and all others. */
  private get isCutOff(): boolean {
    if (this.settings.honoursStaleKeys) return false;
    const {belief, roster} = this.knowledge;
    const leavesAtMs = this.freshnessBoundMs - BALANCER_NOTICE_MS;
    return belief.ageMs > leavesAtMs && roster.isIsolated;
  }

  /** Age of the configuration up to which keys are accepted, in ms. */
  private maxKeyAgeMs(): number {
    const {honoursStaleKeys} = this.settings;
    return honoursStaleKeys ? Infinity : this.freshnessBoundMs;
  }

  /** Age from which a key may have been withdrawn for longer than the platform allows, in ms. */
  private get freshnessBoundMs(): number {
    return this.settings.keyBoundMs - KEY_MARGIN_MS;
  }

  private createWriter(): RolloutController {
    const {ageClock, log, store, reader, settings} = this.options;
    const {mirrors, roster, rollouts, loads, starts} = this.knowledge;
    return new RolloutController({
      clock: ageClock,
      log,
      store,
      reader,
      rollouts: rollouts,
      states: mirrors[Topic.STATUS],
      host: settings.host,
      liveHosts: () => roster.listLive().map(({name}) => name),
      oldRunning: rollout => loads.oldRunning(rollout),
      recordStart: rollout => starts.save(rollout),
    });
  }

  private createDoor(): CallServer {
    const {clock, random, log, headerNames, settings} = this.options;
    const {belief} = this.knowledge;
    return new CallServer({
      clock,
      random,
      log,
      headerNames: headerNames,
      metrics: this.metrics,
      configuration: belief,
      forwarder: this.createForwarder(),
      ip: settings.ip,
      port: settings.callerPort,
      maxKeyAgeMs: () => this.maxKeyAgeMs(),
      maxDenialAgeMs: () => this.settings.configurationBoundMs,
      mayPredateConfiguration: () => this.standstill.mayPredateConfiguration(),
      isClosing: () => this.leaving.hasBegun,
    });
  }

  private createForwarder(): CallForwarder {
    const {clock, random, log, headerNames, settings} = this.options;
    const {directory, gate, limits, loads, prefixes, quarantine} =
      this.knowledge;
    const {rollouts, roster, sessions} = this.knowledge;
    const assigned = new RunnerSubset({
      clock,
      host: settings.host,
      hostsOf: place => roster.listRegisteredIn(place),
    });
    const rates = new PrefillRates({
      costFactorOf: model => limits.costFactorOf(model),
    });
    return new CallForwarder({
      clock,
      random,
      log,
      sessions,
      prefixes,
      quarantine,
      rates,
      metrics: this.metrics,
      headerNames: headerNames,
      directory,
      gate,
      candidates: new CallCandidates({
        directory,
        regionOf: settings.regionOf,
      }),
      rollouts,
      chooser: new RunnerChooser({
        random,
        rates,
        prefixes,
        place: settings.place,
        hosts: () => roster.liveCount,
        isInSubset: runner => assigned.includes(runner),
        lostPlaces: () => roster.findLostPlaces(),
      }),
      cascade: new ModelCascade(),
      retryBudgetOf: service => limits.budgetOf(service),
      priorityAdmissionOf: service => limits.urgentFirstOf(service),
      loadsAgeMs: () => loads.ageMs,
      latencyTargetOf: service => limits.targetOf(service),
    });
  }

  private sweep(): void {
    const {clock, log} = this.options;
    const {belief, directory, quarantine} = this.knowledge;
    this.sweepTimer = clock.after(SWEEP_MS, () => this.sweep());
    for (const {pool} of directory.all()) pool.closeExpired();
    quarantine.review();
    const ageMs = Math.round(belief.ageMs);
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
