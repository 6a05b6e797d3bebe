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
  /** Names of the hosts that live. */
  readonly living: () => readonly string[];
}

/** Time for which a session keeps its version, in ms. */
const SESSION_KEPT_MS = 5_000;
/** Pause between two looks at the store, in ms: a waiting read ends about so long after a record. */
const LOOK_MS = 100;

/** One host of a simulated fleet: what it knows of roll-outs, and what it writes of them. */
export class RolloutWorldHost {
  readonly book: RolloutRegistry;
  readonly sessions: SessionVersions;
  /** Calls of this host that run on the old version. */
  oldRunning = 0;
  /** Whether it reaches neither the store nor other hosts. */
  isCutOff = false;
  /** Whether its process is gone; what it knew is lost then. */
  isGone = false;
  private readonly writer: RolloutController;
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
    const refusals = new RefusedEntryReporter({
      log,
      metrics: new GatewayMetrics(),
    });
    const orders = new TopicMirror(Topic.OPERATOR);
    const states = new TopicMirror(Topic.STATUS);
    const notes = new TopicMirror(Topic.HOSTS);
    this.ownStore = store.share();
    this.mirrors = [notes, states, orders];
    this.sessions = new SessionVersions({clock, retentionMs: SESSION_KEPT_MS});
    const starts = new RolloutStartRecords({
      clock,
      refusedEntries: refusals,
      store: this.ownStore,
      mirror: notes,
    });
    this.book = new RolloutRegistry({
      clock,
      log,
      reader,
      refusedEntries: refusals,
      orders,
      states,
      startRecords: starts,
      sessions: this.sessions,
      isConnected: () => !this.isCutOff,
      hostCount: () => options.living().length,
    });
    this.writer = new RolloutController({
      clock,
      log,
      reader,
      states,
      rollouts: this.book,
      store: this.ownStore,
      host: name,
      listLiveHosts: options.living,
      countOldRunning: () => this.oldRunning,
      recordStart: rollout => starts.save(rollout),
    });
  }

  get name(): string {
    return this.options.name;
  }

  /** The roll-out as this host knows it. */
  get rollout(): Rollout | undefined {
    return this.book.get(this.options.service);
  }

  /** What it tells the other hosts. */
  get digest(): RolloutDigest | undefined {
    return this.rollout?.createDigest(this.oldRunning);
  }

  /** Follows the store from now on, and writes to it where that falls to this host. */
  start(): void {
    this.look();
    this.writer.start();
  }

  /** Ends at once, as a killed process does. */
  kill(): void {
    this.isGone = true;
    this.writer.stop();
  }

  private look(): void {
    if (this.isGone) return;
    const {clock} = this.options;
    this.ownStore.isDown = this.isCutOff;
    if (!this.isCutOff) this.mirrors.forEach(mirror => this.read(mirror));
    clock.after(LOOK_MS, () => this.look());
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
