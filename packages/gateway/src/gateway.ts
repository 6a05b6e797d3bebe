import {randomBytes} from 'node:crypto';
import {
  CascadeRule,
  RetryBudget,
  SessionVersions,
} from '@bayspool/decisions/calls';
import type {RolloutOrder, RunnerEntry} from '@bayspool/decisions/calls';
import type {Clock, RandomSource, Timer} from '@bayspool/kernel';
import {ConfigurationBelief} from './beliefs/configuration_belief.js';
import {RunnerDirectory} from './beliefs/runner_directory.js';
import type {WireReader} from './beliefs/wire_reader.js';
import {CallDoor} from './calls/call_door.js';
import {CallForwarder} from './calls/call_forwarder.js';
import type {HeaderNames} from './calls/header_names.js';
import type {GatewaySettings} from './gateway_settings.js';
import {Leaving} from './lifecycle/leaving.js';
import {MetricsServer} from './lifecycle/metrics_server.js';
import {ReadinessServer} from './lifecycle/readiness_server.js';
import type {EventLog} from './observability/event_log.js';
import {GatewayMetrics} from './observability/gateway_metrics.js';
import {hostKey} from './peers/host_key.js';
import {LoadBoard} from './peers/load_board.js';
import type {LoadDigest} from './peers/load_digest.js';
import {NewsLoop} from './peers/news_loop.js';
import {PeerClient} from './peers/peer_client.js';
import {PeerServer} from './peers/peer_server.js';
import {Roster} from './peers/roster.js';
import {SyncDesk} from './peers/sync_desk.js';
import type {RecordStore} from './records/record_store.js';
import {StoreHealth} from './records/store_health.js';
import {TopicFollower} from './records/topic_follower.js';
import {TopicMirror} from './records/topic_mirror.js';
import {Topic} from './records/topic.js';
import {RolloutBook} from './rollouts/rollout_book.js';
import {RolloutWriter} from './rollouts/rollout_writer.js';
import {startKey} from './rollouts/start_key.js';
import type {Rollout} from './rollouts/rollout.js';
import {ConnectPatience} from './runners/connect_patience.js';
import {ConnectionPool} from './runners/connection_pool.js';
import {PrefixBook} from './runners/prefix_book.js';
import {ReadingRates} from './runners/reading_rates.js';
import {Runner} from './runners/runner.js';
import {RunnerChooser} from './runners/runner_chooser.js';

interface Options {
  readonly settings: GatewaySettings;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: EventLog;
  readonly store: RecordStore;
  readonly reader: WireReader;
  readonly headerNames: HeaderNames;
}

/** How long one read of the operator's topic waits, in ms: the age of what hosts know in calm times. */
const OPERATOR_WAIT_MS = 1_000;
/** The same for topics whose age does not matter; a record ends the wait at once. */
const OTHER_WAIT_MS = 10_000;
/** Kept back from the bound on withdrawn keys, for the way of a request and slow timers, in ms. */
const KEY_MARGIN_MS = 400;
/** Age of what is known up to which this host counts as in touch, in ms. */
const TOUCH_MS = 3_000;
/** Part of a runner's connections that all hosts together open. */
const CONNECTION_PART = 0.9;
/** Connections a host may open to a runner whatever its share is. */
const MIN_CONNECTIONS = 3;
/** Latency target of services that no route names, in ms. */
const MAX_TARGET_MS = 10_000;
/** Pause between two rounds of closing rested connections, in ms. */
const SWEEP_MS = 1_000;
/** Pause after this host could not be entered in the store, in ms. */
const ENTER_RETRY_MS = 400;

/** Forwards routed calls: everything that one host runs. */
export class Gateway {
  readonly metrics = new GatewayMetrics();
  private readonly boot = randomBytes(6).toString('hex');
  private readonly mirrors: Record<Topic, TopicMirror>;
  private readonly storeHealth: StoreHealth;
  private readonly roster: Roster;
  private readonly directory: RunnerDirectory;
  private readonly belief: ConfigurationBelief;
  private readonly rollouts: RolloutBook;
  private readonly board: LoadBoard;
  private readonly desk: SyncDesk;
  private readonly news: NewsLoop;
  private readonly peerClient: PeerClient;
  private readonly peerServer: PeerServer;
  private readonly followers: TopicFollower[];
  private readonly writer: RolloutWriter;
  private readonly door: CallDoor;
  private readonly readiness: ReadinessServer;
  private readonly metricsServer: MetricsServer;
  private readonly leaving: Leaving;
  private readonly budgets = new Map<string, RetryBudget>();
  private readonly prefixes = new PrefixBook();
  private readonly patience = new ConnectPatience();
  private sweepTimer: Timer | undefined;
  private wasFresh = false;
  private wasReady = false;
  private isStopped = false;
  private settings: GatewaySettings;

  constructor(private readonly options: Options) {
    const {settings, clock, random, log, store, reader, headerNames} = options;
    this.settings = settings;
    this.mirrors = {
      [Topic.OPERATOR]: new TopicMirror(Topic.OPERATOR),
      [Topic.RUNNERS]: new TopicMirror(Topic.RUNNERS),
      [Topic.STATUS]: new TopicMirror(Topic.STATUS),
      [Topic.HOSTS]: new TopicMirror(Topic.HOSTS),
    };
    const {mirrors} = this;
    const freshness = mirrors[Topic.OPERATOR];
    this.storeHealth = new StoreHealth({clock, log});
    this.roster = new Roster({
      clock,
      log,
      mirror: mirrors[Topic.HOSTS],
      self: {
        name: settings.host,
        place: settings.place,
        address: `${settings.ip}:${settings.peerPort}`,
        boot: this.boot,
        capacity: settings.capacity,
      },
    });
    this.belief = new ConfigurationBelief({
      clock,
      log,
      reader,
      mirror: freshness,
    });
    this.directory = new RunnerDirectory({
      clock,
      log,
      reader,
      freshness,
      mirror: mirrors[Topic.RUNNERS],
      createRunner: entry => this.createRunner(entry),
    });
    const sessions = new SessionVersions({
      clock,
      keepMs: settings.sessionKeptMs,
    });
    this.rollouts = new RolloutBook({
      clock,
      log,
      reader,
      sessions,
      orders: freshness,
      states: mirrors[Topic.STATUS],
      isInTouch: () => clock.now() - freshness.provenAt < TOUCH_MS,
      sessionMemoryMs: settings.sessionKeptMs,
      notedElapsedMs: order => this.notedElapsedMs(order),
    });
    this.board = new LoadBoard({
      clock,
      place: settings.place,
      own: () => this.ownDigest(),
    });
    this.desk = new SyncDesk({
      clock,
      freshness,
      mirrors: Object.values(mirrors),
      board: this.board,
      self: this.roster.self,
    });
    this.peerClient = new PeerClient({clock});
    this.peerServer = new PeerServer({
      ip: settings.ip,
      port: settings.peerPort,
      desk: this.desk,
      log,
    });
    this.news = new NewsLoop({
      clock,
      random,
      log,
      freshness,
      roster: this.roster,
      client: this.peerClient,
      desk: this.desk,
      onNews: () => this.takeRemoteLoads(),
    });
    this.followers = Object.values(mirrors).map(
      mirror =>
        new TopicFollower({
          clock,
          random,
          store,
          mirror,
          log,
          health: this.storeHealth,
          waitMs:
            mirror.topic === Topic.OPERATOR ? OPERATOR_WAIT_MS : OTHER_WAIT_MS,
          isWanted: () => !mirror.isLoaded || this.reads(mirror.topic),
        }),
    );
    this.writer = new RolloutWriter({
      clock,
      log,
      store,
      reader,
      book: this.rollouts,
      states: mirrors[Topic.STATUS],
      host: settings.host,
      hosts: () => this.roster.living().map(({name}) => name),
      oldRunning: rollout => this.oldRunning(rollout),
      noteStart: rollout => this.noteStart(rollout),
    });
    const rates = new ReadingRates();
    const {prefixes} = this;
    this.door = new CallDoor({
      clock,
      random,
      log,
      names: headerNames,
      metrics: this.metrics,
      belief: this.belief,
      forwarder: new CallForwarder({
        clock,
        random,
        log,
        sessions,
        prefixes,
        rates,
        metrics: this.metrics,
        names: headerNames,
        directory: this.directory,
        rollouts: this.rollouts,
        chooser: new RunnerChooser({
          random,
          rates,
          prefixes,
          place: settings.place,
          hosts: () => this.roster.living().length,
          isPlaceLost: place => this.roster.isPlaceLost(place),
        }),
        cascade: new CascadeRule({threshold: settings.confidenceThreshold}),
        budgetOf: service => this.budgetOf(service),
        targetOf: service => this.targetOf(service),
      }),
      ip: settings.ip,
      port: settings.callerPort,
      maxKeyAgeMs: () => this.settings.keyBoundMs - KEY_MARGIN_MS,
      maxDenialAgeMs: () => this.settings.configurationBoundMs,
      isClosing: () => this.leaving.isClosing,
    });
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
    this.observe();
  }

  /** Starts to serve; readiness follows when configuration and runners are known. */
  async start(): Promise<void> {
    const {log, settings} = this.options;
    await this.readiness.start();
    await this.peerServer.start();
    await this.door.start();
    await this.metricsServer.start().catch(error => {
      log.write('unexpected', {where: 'metrics', message: String(error)});
    });
    for (const follower of this.followers) follower.start();
    this.news.start();
    this.writer.start();
    this.sweep();
    void this.enter();
    log.write('process_started', {
      host: settings.host,
      place: settings.place,
      pid: process.pid,
      program: 'gateway',
      configurationKnown: this.belief.current !== undefined,
      forMs: Math.round(process.uptime() * 1000),
    });
  }

  /**
   * Takes over changed bounds without a restart. Addresses and names hold until the next start, as
   * others know them.
   */
  applySettings(next: GatewaySettings, reason: string): void {
    const changed = Object.entries(next)
      .filter(([name, value]) => this.settings[name as never] !== value)
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
    this.isStopped = true;
    this.news.stop();
    this.writer.stop();
    for (const follower of this.followers) follower.stop();
    this.sweepTimer?.cancel();
    this.peerServer.stop();
    this.peerClient.stop();
    this.readiness.stop();
    this.metricsServer.stop();
    this.door.stop();
  }

  private isReady(): boolean {
    const isReady =
      !this.leaving.hasBegun &&
      this.belief.current !== undefined &&
      this.directory.all().length > 0 &&
      this.belief.ageMs < this.settings.keyBoundMs - KEY_MARGIN_MS;
    if (isReady !== this.wasReady) {
      this.wasReady = isReady;
      const reason = this.leaving.hasBegun
        ? 'leaving'
        : `configuration ${this.belief.current?.version ?? 'unknown'}, age ${Math.round(this.belief.ageMs)} ms`;
      this.options.log.write('readiness_changed', {isReady, reason});
    }
    return isReady;
  }

  private reads(topic: Topic): boolean {
    const {news} = this;
    return topic === Topic.OPERATOR ? news.readsStore : news.readsAll;
  }

  private createRunner(entry: RunnerEntry): Runner {
    const {clock} = this.options;
    const {service} = entry;
    const pool = new ConnectionPool({
      clock,
      patience: this.patience,
      address: entry.address,
      maxConnections: () => this.maxConnections(service),
      onOpened: () => this.metrics.connections.inc({service}),
    });
    return new Runner({clock, entry, pool});
  }

  private maxConnections(service: string): number {
    const all = this.belief.current?.services.get(service)?.maxConnections;
    if (all === undefined) return MIN_CONNECTIONS;
    const share = (all * CONNECTION_PART) / this.roster.living().length;
    return Math.max(MIN_CONNECTIONS, Math.floor(share));
  }

  private budgetOf(service: string): RetryBudget {
    const known = this.budgets.get(service);
    if (known) return known;
    const {clock, settings} = this.options;
    const budget = new RetryBudget({
      clock,
      ratio: () => this.settings.retryRatio,
      extra: () => this.settings.retryExtra,
      windowMs: settings.retryWindowMs,
      hosts: () => this.roster.living().length,
    });
    this.budgets.set(service, budget);
    return budget;
  }

  private targetOf(service: string): number {
    const routes = this.belief.current?.routes ?? [];
    const targets = routes
      .filter(({targets}) => targets.some(target => target.service === service))
      .map(({latencyTargetMs}) => latencyTargetMs);
    return Math.min(MAX_TARGET_MS, ...targets);
  }

  private ownDigest(): LoadDigest {
    const runners: Record<string, [number, number, number, number]> = {};
    for (const {entry, ownLoad} of this.directory.all()) {
      const {running, pendingMs, ok, failed} = ownLoad;
      if (running === 0 && ok + failed < 0.05) continue;
      runners[entry.id] = [
        running,
        Math.round(pendingMs),
        Math.round(ok * 10) / 10,
        Math.round(failed * 10) / 10,
      ];
    }
    const rollouts = Object.fromEntries(
      this.rollouts
        .all()
        .map(rollout => [
          rollout.order.service,
          rollout.digest(this.oldRunning(rollout)),
        ]),
    );
    return {runners, rollouts};
  }

  private takeRemoteLoads(): void {
    const {runners, rollouts} = this.board.others();
    for (const runner of this.directory.all()) {
      const [running, pendingMs, ok, failed] = runners[runner.entry.id] ?? [
        0, 0, 0, 0,
      ];
      runner.remote = {running, pendingMs, ok, failed};
    }
    this.rollouts.noteRemote(rollouts);
  }

  private oldRunning({order}: Rollout): number {
    return this.directory
      .all()
      .filter(
        ({entry}) =>
          entry.service === order.service && entry.version !== order.version,
      )
      .reduce((sum, runner) => sum + runner.ownLoad.running, 0);
  }

  private async noteStart(rollout: Rollout): Promise<void> {
    const {clock, store} = this.options;
    const startedAtWall = Math.round(clock.wall() - rollout.elapsedMs);
    await store.append({
      topic: Topic.HOSTS,
      key: startKey(rollout.order),
      value: JSON.stringify({startedAtWall}),
    });
  }

  /** A time of day is only a hint: it helps after all hosts were restarted, and is bounded. */
  private notedElapsedMs(order: RolloutOrder): number {
    const value = this.mirrors[Topic.HOSTS].get(startKey(order))?.value;
    if (value === undefined) return 0;
    const {startedAtWall} = JSON.parse(value) as {startedAtWall: number};
    const elapsedMs = this.options.clock.wall() - startedAtWall;
    return Math.min(order.durationMs, Math.max(0, elapsedMs));
  }

  /** Enters this host in the store, until it is done. */
  private async enter(): Promise<void> {
    const {clock, log, store} = this.options;
    const {self} = this.roster;
    while (!this.isStopped) {
      try {
        await store.append({
          topic: Topic.HOSTS,
          key: hostKey.of(self.name),
          value: JSON.stringify(self),
        });
        return;
      } catch (error) {
        log.write('unexpected', {
          where: 'entry of this host in the store',
          message: String(error),
        });
        await new Promise<void>(resolve => {
          clock.after(ENTER_RETRY_MS, resolve);
        });
      }
    }
  }

  private sweep(): void {
    const {clock, log} = this.options;
    this.sweepTimer = clock.after(SWEEP_MS, () => this.sweep());
    for (const {pool} of this.directory.all()) pool.sweep();
    const ageMs = Math.round(this.belief.ageMs);
    const boundMs = this.settings.keyBoundMs - KEY_MARGIN_MS;
    const isFresh = ageMs <= boundMs;
    if (isFresh === this.wasFresh) return;
    this.wasFresh = isFresh;
    if (isFresh) log.write('freshness_regained', {ageMs});
    else log.write('freshness_lost', {ageMs, boundMs});
  }

  private observe(): void {
    const {metrics} = this;
    metrics.observe(
      'open_requests',
      'Requests not answered yet',
      () => this.door.openCalls,
    );
    metrics.observe(
      'configuration_version',
      'Configuration in force',
      () => this.belief.current?.version ?? 0,
    );
    metrics.observe(
      'configuration_age_seconds',
      'Time since it was known to be the newest',
      () => this.belief.ageMs / 1000,
    );
    metrics.observe(
      'runners',
      'Runners known',
      () => this.directory.all().length,
    );
    metrics.observe(
      'runners_ejected',
      'Runners left alone for a time',
      () => this.directory.all().filter(r => r.health.isEjected).length,
    );
    metrics.observe(
      'hosts',
      'Hosts known to live',
      () => this.roster.living().length,
    );
    metrics.observe('reads_store', 'Whether this host reads the store', () =>
      Number(this.news.readsStore),
    );
    metrics.observe('resident_bytes', 'Memory of the process', () =>
      process.memoryUsage.rss(),
    );
  }
}
