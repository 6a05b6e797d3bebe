import {RouteTable} from '@bayspool/decisions/calls';
import type {CallConfiguration} from '@bayspool/decisions/calls';
import type {Clock} from '@bayspool/kernel';
import type {EventLog} from '../observability/event_log.js';
import type {KeyedRecord} from '../records/keyed_record.js';
import type {TopicMirror} from '../records/topic_mirror.js';
import type {RecordReader} from './record_reader.js';

interface Options {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly mirror: TopicMirror;
  readonly reader: RecordReader;
}

type Listener = (configuration: CallConfiguration) => void;

/** The configuration that is active on this host. It never goes back to an older version. */
export class ActiveConfiguration {
  private configuration: CallConfiguration | undefined;
  private lastReplacedAt: number | undefined;
  private routeTable = new RouteTable([]);
  private readonly listeners: Listener[] = [];

  constructor(private readonly options: Options) {
    options.mirror.onUpdate(({changed}) => {
      for (const record of changed) this.applyRecord(record);
    });
  }

  /** The active configuration; undefined until one is known. */
  get current(): CallConfiguration | undefined {
    return this.configuration;
  }

  /** When the active configuration replaced another one; undefined if it is the first of this process. */
  get changedAt(): number | undefined {
    return this.lastReplacedAt;
  }

  /** The routes of the active configuration. */
  get routes(): RouteTable {
    return this.routeTable;
  }

  /** Time since the configuration was last confirmed to be the newest, in ms. */
  get ageMs(): number {
    return this.options.clock.now() - this.options.mirror.freshAsOf;
  }

  /** Calls the listener with each configuration that becomes active. */
  onChange(listener: Listener): void {
    this.listeners.push(listener);
  }

  private applyRecord(record: KeyedRecord): void {
    const {reader, log} = this.options;
    if (record.key !== reader.configurationKey) return;
    if (record.value === undefined) return;
    try {
      this.activate(reader.readConfiguration(record), record.offset);
    } catch (error) {
      log.write('configuration_refused', {
        offset: record.offset,
        reason: String(error),
      });
    }
  }

  private activate(next: CallConfiguration, offset: number): void {
    const previous = this.configuration;
    if (previous && next.version <= previous.version) return;
    this.configuration = next;
    if (previous) this.lastReplacedAt = this.options.clock.now();
    this.routeTable = new RouteTable(next.routes);
    this.logChange(next, previous, offset);
    for (const listener of this.listeners) listener(next);
  }

  private logChange(
    next: CallConfiguration,
    previous: CallConfiguration | undefined,
    offset: number,
  ): void {
    const {log} = this.options;
    log.write('configuration_in_force', {
      version: next.version,
      previous: previous?.version ?? 0,
      routes: next.routes.length,
      keys: next.keys?.size ?? 0,
      ageMs: Math.round(Math.min(this.ageMs, Number.MAX_SAFE_INTEGER)),
      offset,
    });
    for (const [key, holder] of previous?.keys ?? []) {
      if (next.keys?.has(key)) continue;
      log.write('key_withdrawn', {
        workspace: holder.workspace,
        version: next.version,
      });
    }
  }
}
