import type {EventLog} from '../observability/event_log.js';
import type {GatewayMetrics} from '../observability/gateway_metrics.js';
import {InvalidEntry} from './invalid_entry.js';
import type {KeyedRecord} from './keyed_record.js';
import type {Topic} from './topic.js';

interface Options {
  readonly log: EventLog;
  readonly metrics: GatewayMetrics;
}

/** Keys whose reports are remembered: more than the topics of a large fleet have. */
const MAX_REPORTED_KEYS = 2_000;

/** Reports each refused store entry once, although the same record is read repeatedly. */
export class RefusedEntryReporter {
  private readonly reportedOffsets = new Map<string, number>();

  constructor(private readonly options: Options) {}

  /** Logs and counts a refused record; a later record with the same key is reported again. */
  report(topic: Topic, {key, offset}: KeyedRecord, error: unknown): void {
    const id = `${topic}|${key}`;
    if ((this.reportedOffsets.get(id) ?? -1) >= offset) return;
    this.reportedOffsets.delete(id);
    this.reportedOffsets.set(id, offset);
    this.evictOldest();
    const {log, metrics} = this.options;
    const kind = error instanceof InvalidEntry ? error.kind : 'unexpected';
    const reason = error instanceof Error ? error.message : String(error);
    metrics.refusedEntries.inc({topic, kind});
    log.write('entry_refused', {topic, key, offset, kind, reason});
  }

  private evictOldest(): void {
    if (this.reportedOffsets.size <= MAX_REPORTED_KEYS) return;
    const [oldest] = this.reportedOffsets.keys();
    this.reportedOffsets.delete(oldest);
  }
}
