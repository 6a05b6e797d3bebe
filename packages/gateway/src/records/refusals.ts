import type {EventLog} from '../observability/event_log.js';
import type {GatewayMetrics} from '../observability/gateway_metrics.js';
import {EntryProblem} from './entry_problem.js';
import type {KeyedRecord} from './keyed_record.js';
import type {Topic} from './topic.js';

interface Options {
  readonly log: EventLog;
  readonly metrics: GatewayMetrics;
}

/** Records of which it is remembered that they were told: over the keys of a large fleet's topics. */
const MAX_REMEMBERED = 2_000;

/** Tells of entries that could not be used: each once, as the same record is read again and again. */
export class Refusals {
  private readonly told = new Map<string, number>();

  constructor(private readonly options: Options) {}

  /** Notes that a record was not used; a later one under its key is told again. */
  note(topic: Topic, {key, offset}: KeyedRecord, error: unknown): void {
    const id = `${topic}|${key}`;
    if ((this.told.get(id) ?? -1) >= offset) return;
    this.told.delete(id);
    this.told.set(id, offset);
    this.forgetOldest();
    const {log, metrics} = this.options;
    const kind = error instanceof EntryProblem ? error.kind : 'unexpected';
    const reason = error instanceof Error ? error.message : String(error);
    metrics.refusedEntries.inc({topic, kind});
    log.write('entry_refused', {topic, key, offset, kind, reason});
  }

  private forgetOldest(): void {
    if (this.told.size <= MAX_REMEMBERED) return;
    const [oldest] = this.told.keys();
    this.told.delete(oldest);
  }
}
