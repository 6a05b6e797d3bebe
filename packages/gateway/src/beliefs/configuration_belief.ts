import {RouteTable} from '@bayspool/decisions/calls';
import type {CallConfiguration} from '@bayspool/decisions/calls';
import type {Clock} from '@bayspool/kernel';
import type {EventLog} from '../observability/event_log.js';
import type {KeyedRecord} from '../records/keyed_record.js';
import type {TopicMirror} from '../records/topic_mirror.js';
import type {WireReader} from './wire_reader.js';

interface Options {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly mirror: TopicMirror;
  readonly reader: WireReader;
}

type Listener = (configuration: CallConfiguration) => void;

/** The configuration in force at this host. It never goes back to an older version. */
export class ConfigurationBelief {
  private configuration: CallConfiguration | undefined;
  private replacedAt: number | undefined;
  private table = new RouteTable([]);
  private readonly listeners: Listener[] = [];

  constructor(private readonly options: Options) {
    options.mirror.onUpdate(({changed}) => {
      for (const record of changed) this.take(record);
    });
  }

  /** The configuration in force; undefined until one is known. */
  get current(): CallConfiguration | undefined {
    return this.configuration;
  }

  /** When the configuration in force took the place of another one; undefined if it is the first of this process. */
  get changedAt(): number | undefined {
    return this.replacedAt;
  }

  /** The routes of the configuration in force. */
  get routes(): RouteTable {
    return this.table;
  }

  /** How long ago the configuration is known to have been the newest, in ms. */
  get ageMs(): number {
    return this.options.clock.now() - this.options.mirror.provenAt;
  }

  /** Tells the listener of each configuration that comes into force. */
  onChange(listener: Listener): void {
    this.listeners.push(listener);
  }

  private take(record: KeyedRecord): void {
    const {reader, log} = this.options;
    if (record.key !== reader.configurationKey) return;
    if (record.value === undefined) return;
    try {
      this.adopt(reader.readConfiguration(record), record.offset);
    } catch (error) {
      log.write('configuration_refused', {
        offset: record.offset,
        reason: String(error),
      });
    }
  }

  private adopt(next: CallConfiguration, offset: number): void {
    const previous = this.configuration;
    if (previous && next.version <= previous.version) return;
    this.configuration = next;
    if (previous) this.replacedAt = this.options.clock.now();
    this.table = new RouteTable(next.routes);
    this.report(next, previous, offset);
    for (const listener of this.listeners) listener(next);
  }

  private report(
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
