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
  readonly seal: Sealer;
  /** Told of each record that was refused. */
  readonly onRefused: (offset: number, why: string) => void;
  /** Told of each snapshot that was seen, with the offset it covers. */
  readonly onSnapshot: (upTo: number) => void;
}

/** What the reader has come to. */
interface Progress {
  readonly config: Configuration;
  /** The offset to read next. */
  readonly nextOffset: number;
  /** Whether records are missing between the state and the log's oldest one. */
  readonly hasGap: boolean;
}

/**
 * Turns pages of the configuration stream into states. When records were lost to
 * expiry before they were read, it goes on from the next snapshot that covers the
 * hole, and keeps the state as it is until then.
 */
export class ConfigurationReader {
  private pendingRecords: LogRecord[] = [];

  constructor(private readonly options: Options) {}

  foldPage(config: Configuration, position: number, page: LogPage): Progress {
    const fresh = page.records.filter(record => record.offset >= position);
    const next =
      fresh.length > 0
        ? fresh[fresh.length - 1].offset + 1
        : Math.max(position, page.first);
    const contiguous =
      this.pendingRecords.length === 0 &&
      (fresh[0]?.offset ?? page.first) <= config.offset + 1;
    if (contiguous)
      return {
        config: this.foldAll(config, fresh),
        nextOffset: next,
        hasGap: false,
      };
    this.pendingRecords.push(...fresh);
    const restored = this.restoreFromSnapshot(config);
    if (!restored) return {config, nextOffset: next, hasGap: true};
    this.pendingRecords = [];
    return {config: restored, nextOffset: next, hasGap: false};
  }

  /** The state was replaced by a peer's; what it covers need not be kept. */
  discardCovered(config: Configuration): boolean {
    this.pendingRecords = this.pendingRecords.filter(
      record => record.offset > config.offset,
    );
    return (
      this.pendingRecords.length === 0 ||
      this.pendingRecords[0].offset === config.offset + 1
    );
  }

  /** Folds what was kept onto a state that covers everything before it. */
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
    const opened = this.options.seal.open(record.value);
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
