import {
  ConfigRecord,
  foldRecord,
  computeStateDigest,
  type Configuration,
  type LogPage,
  type LogRecord,
} from '@bayspool/decisions';
import type {Sealer} from '@bayspool/decisions';

interface Options {
  readonly sealer: Sealer;
  /** Called for each record that is refused. */
  readonly onRefused: (offset: number, reason: string) => void;
  /** Called for each snapshot that is read, with the offset up to which it covers. */
  readonly onSnapshot: (upTo: number) => void;
}

/** The state after a page and where to continue. */
interface Progress {
  readonly config: Configuration;
  /** The next offset to read. */
  readonly nextOffset: number;
  /** Whether records between the state and the log's oldest record are missing. */
  readonly hasGap: boolean;
}

/**
 * Folds pages of the configuration stream into states. When records expired before
 * they were read, it keeps the state and buffers the following records until a
 * snapshot covers the gap.
 */
export class ConfigurationReader {
  private pendingRecords: LogRecord[] = [];

  constructor(private readonly options: Options) {}

  foldPage(config: Configuration, position: number, page: LogPage): Progress {
    const unread = page.records.filter(record => record.offset >= position);
    const nextOffset =
      unread.length > 0
        ? unread[unread.length - 1].offset + 1
        : Math.max(position, page.first);
    const isContiguous =
      this.pendingRecords.length === 0 &&
      (unread[0]?.offset ?? page.first) <= config.offset + 1;
    if (isContiguous)
      return {
        config: this.foldAll(config, unread),
        nextOffset,
        hasGap: false,
      };
    this.pendingRecords.push(...unread);
    const restored = this.restoreFromSnapshot(config);
    if (!restored) return {config, nextOffset, hasGap: true};
    this.pendingRecords = [];
    return {config: restored, nextOffset, hasGap: false};
  }

  /**
   * Drops buffered records that a peer's state covers. Returns whether the remaining
   * ones follow that state without a gap.
   */
  discardCovered(config: Configuration): boolean {
    this.pendingRecords = this.pendingRecords.filter(
      record => record.offset > config.offset,
    );
    return (
      this.pendingRecords.length === 0 ||
      this.pendingRecords[0].offset === config.offset + 1
    );
  }

  /** Folds the buffered records onto a state that covers everything before them. */
  foldPending(config: Configuration): Configuration {
    const folded = this.foldAll(config, this.pendingRecords);
    this.pendingRecords = [];
    return folded;
  }

  private foldAll(
    start: Configuration,
    records: readonly LogRecord[],
  ): Configuration {
    return records.reduce(
      (config, record) => this.foldOne(config, record),
      start,
    );
  }

  private foldOne(config: Configuration, record: LogRecord): Configuration {
    const parsed = this.decode(record);
    if (!parsed)
      return record.offset > config.offset
        ? {...config, offset: record.offset}
        : config;
    if (parsed.type === 'snapshot') this.options.onSnapshot(parsed.upTo);
    return foldRecord(config, record.offset, parsed);
  }

  private restoreFromSnapshot(
    config: Configuration,
  ): Configuration | undefined {
    for (const record of [...this.pendingRecords].reverse()) {
      const parsed = this.decode(record);
      if (
        parsed?.type !== 'snapshot' ||
        parsed.upTo < this.pendingRecords[0].offset - 1
      )
        continue;
      if (
        parsed.upTo < config.offset ||
        computeStateDigest(parsed.state) !== parsed.digest
      )
        continue;
      this.options.onSnapshot(parsed.upTo);
      return this.foldAll(parsed.state, this.pendingRecords);
    }
    return undefined;
  }

  private decode(record: LogRecord): ConfigRecord | undefined {
    const opened = this.options.sealer.open(record.value);
    if (opened.isLeft()) {
      this.options.onRefused(record.offset, String(opened.extract()));
      return undefined;
    }
    const parsed = ConfigRecord.safeParse(opened.extract());
    if (!parsed.success) {
      this.options.onRefused(record.offset, 'malformed');
      return undefined;
    }
    return parsed.data;
  }
}
