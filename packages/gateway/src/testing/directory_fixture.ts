import type {RunnerEntry} from '@bayspool/decisions/calls';
import {VirtualClock} from '@bayspool/kernel';
import {RunnerDirectory} from '../discovery/runner_directory.js';
import type {RecordReader} from '../discovery/record_reader.js';
import {EventLog} from '../observability/event_log.js';
import {GatewayMetrics} from '../observability/gateway_metrics.js';
import type {KeyedRecord} from '../records/keyed_record.js';
import {RefusedEntryReporter} from '../records/refused_entry_reporter.js';
import {Topic} from '../records/topic.js';
import {TopicMirror} from '../records/topic_mirror.js';
import {ConnectTimeout} from '../runners/connect_timeout.js';
import {ConnectionPool} from '../runners/connection_pool.js';
import {PrefixCacheIndex} from '../runners/prefix_cache_index.js';
import type {LimitChange} from '../runners/limit_change.js';
import {Runner} from '../runners/runner.js';

/** A runner directory on an in-memory topic mirror, without a network, for tests of runner entries. */
export class DirectoryFixture {
  readonly clock = new VirtualClock();
  readonly metrics = new GatewayMetrics();
  readonly lines: Array<Record<string, unknown>> = [];
  readonly prefixes = new PrefixCacheIndex({clock: this.clock});
  readonly directory: RunnerDirectory;
  /** Called with the id of each runner that is removed from the directory. */
  onRemoved: (id: string) => void = () => undefined;
  /** Called when a runner's known limit changes. */
  onLimitChange: (entry: RunnerEntry, change: LimitChange) => void = () =>
    undefined;
  private readonly mirror = new TopicMirror(Topic.RUNNERS);
  private nextOffset = 0;

  constructor(reader: RecordReader) {
    const {clock, metrics, mirror, lines} = this;
    const log = new EventLog({
      clock,
      host: 'host',
      sink: {
        write: line => {
          lines.push(JSON.parse(line) as Record<string, unknown>);
        },
      },
    });
    const connectTimeout = new ConnectTimeout();
    this.directory = new RunnerDirectory({
      clock,
      log,
      mirror,
      reader,
      isCordoned: () => false,
      refusedEntries: new RefusedEntryReporter({log, metrics}),
      freshnessMirror: mirror,
      onRemoved: id => {
        this.prefixes.removeRunner(id);
        this.onRemoved(id);
      },
      createRunner: entry => {
        const pool = new ConnectionPool({
          clock,
          connectTimeout,
          address: entry.address,
          maxConnections: () => 1,
          onOpened: () => undefined,
        });
        const onLimitChange = (change: LimitChange) =>
          this.onLimitChange(entry, change);
        return new Runner({clock, entry, pool, onLimitChange});
      },
    });
    mirror.load({records: [], next: 0, isWhole: true}, clock.now());
  }

  /** Appends a record to the mirror; no value means a deletion. */
  put(key: string, value: string | undefined): void {
    const record: KeyedRecord = {key, value, offset: this.nextOffset++};
    const page = {records: [record], next: this.nextOffset, isWhole: true};
    this.mirror.extend(page, this.clock.now());
  }

  /** Log lines of one event. */
  events(event: string): Array<Record<string, unknown>> {
    return this.lines.filter(line => line.event === event);
  }
}
