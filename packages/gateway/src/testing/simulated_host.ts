import {SessionVersions} from '@bayspool/decisions/calls';
import type {Clock} from '@bayspool/kernel';
import {EventLog} from '../observability/event_log.js';
import {GatewayMetrics} from '../observability/gateway_metrics.js';
import {RefusedEntryReporter} from '../records/refused_entry_reporter.js';
import {Topic} from '../records/topic.js';
import {TopicMirror} from '../records/topic_mirror.js';
import type {Rollout} from '../rollouts/rollout.js';
import {RolloutRegistry} from '../rollouts/rollout_registry.js';
import type {RolloutDigest} from '../rollouts/rollout_digest.js';
import {RolloutStartRecords} from '../rollouts/rollout_start_records.js';
import {RolloutController} from '../rollouts/rollout_controller.js';
import type {MemoryRecordStore} from './memory_record_store.js';
import {PlainReader} from './plain_reader.js';

interface Options {
  readonly clock: Clock;
  readonly name: string;
  readonly service: string;
  readonly store: MemoryRecordStore;
  /** Returns when the store became unavailable; undefined while it is available. */
  readonly storeLostAt?: () => number | undefined;
  /** Names of the live hosts. */
  readonly liveHosts: () => readonly string[];
}

/** Time for which a session keeps its version, in ms. */
const SESSION_RETENTION_MS = 5_000;
/** Interval at which the host polls the store, in ms: about the delay with which a long poll returns a new record. */
const POLL_INTERVAL_MS = 100;
/** Age of the records up to which the host counts as connected, in ms. */
const CONNECTED_MAX_AGE_MS = 3_600;

/** One host of a simulated fleet: its rollout registry and the controller that writes rollout states. */
export class SimulatedHost {
  readonly registry: RolloutRegistry;
  readonly sessions: SessionVersions;
  /** Calls of this host running on the old version. */
  oldRunning = 0;
  /** Retries that this host may still send. */
  retriesLeft = Infinity;
  /** Whether the host is partitioned from the store and the other hosts. */
  isPartitioned = false;
  /** Whether its process was killed, which loses its state. */
  isKilled = false;
  private readonly controller: RolloutController;
  private readonly mirrors: readonly TopicMirror[];
  private readonly ownStore: MemoryRecordStore;

  constructor(private readonly options: Options) {
    const {clock, name, store} = options;
    const log = new EventLog({
      clock,
      host: name,
      sink: {write: () => undefined},
    });
    const reader = new PlainReader();
    const refusedEntries = new RefusedEntryReporter({
      log,
      metrics: new GatewayMetrics(),
    });
    const orders = new TopicMirror(Topic.OPERATOR);
    const states = new TopicMirror(Topic.STATUS);
    const startMirror = new TopicMirror(Topic.HOSTS);
    this.ownStore = store.share();
    this.mirrors = [startMirror, states, orders];
    this.sessions = new SessionVersions({
      clock,
      retentionMs: SESSION_RETENTION_MS,
    });
    const starts = new RolloutStartRecords({
      clock,
      refusedEntries,
      store: this.ownStore,
      mirror: startMirror,
    });
    this.registry = new RolloutRegistry({
      clock,
      log,
      reader,
      refusedEntries,
      orders,
      states,
      startRecords: starts,
      sessions: this.sessions,
      isConnected: () => this.isConnected,
      sharerCount: () => options.liveHosts().length,
      retriesLeft: () => this.retriesLeft,
    });
    this.controller = new RolloutController({
      clock,
      log,
      reader,
      states,
      rollouts: this.registry,
      store: this.ownStore,
      host: name,
      listLiveHosts: options.liveHosts,
      countOldRunning: () => this.oldRunning,
      recordStart: rollout => starts.save(rollout),
    });
  }

  get name(): string {
    return this.options.name;
  }

  /** The rollout as this host knows it. */
  get rollout(): Rollout | undefined {
    return this.registry.get(this.options.service);
  }

  /** The digest that it sends to the other hosts. */
  get digest(): RolloutDigest | undefined {
    return this.rollout?.createDigest(this.oldRunning);
  }

  /** Starts following the store, and writing to it when this host is responsible. */
  start(): void {
    this.pollStore();
    this.controller.start();
  }

  /** Stops at once, like a killed process. */
  kill(): void {
    this.isKilled = true;
    this.controller.stop();
  }

  private get isConnected(): boolean {
    if (this.isPartitioned) return false;
    const {clock, storeLostAt} = this.options;
    const lostAt = storeLostAt?.() ?? clock.now();
    return clock.now() - lostAt <= CONNECTED_MAX_AGE_MS;
  }

  private pollStore(): void {
    if (this.isKilled) return;
    const {clock} = this.options;
    const isStoreLost = this.options.storeLostAt?.() !== undefined;
    this.ownStore.isDown = this.isPartitioned || isStoreLost;
    if (!this.isPartitioned) this.mirrors.forEach(mirror => this.read(mirror));
    clock.after(POLL_INTERVAL_MS, () => this.pollStore());
  }

  private read(mirror: TopicMirror): void {
    const all = this.options.store.records(mirror.topic);
    const page = {
      records: all.slice(mirror.next),
      next: all.length,
      isWhole: true,
    };
    const now = this.options.clock.now();
    if (mirror.isLoaded) return mirror.extend(page, now);
    const newest = new Map(all.map(record => [record.key, record]));
    mirror.load({...page, records: [...newest.values()]}, now);
  }
}
