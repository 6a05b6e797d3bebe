import type {Log, LogPage, LogRecord} from '@bayspool/decisions';
import type {Clock} from '@bayspool/kernel';
import {LongPolls} from '../polls/long_polls.js';

interface Options {
  readonly clock: Clock;
  /** How long records are kept, in ms. */
  readonly retentionMs: number;
}

interface Stream {
  records: LogRecord[];
  next: number;
  readonly polls: LongPolls;
}

const PAGE_MOST = 1_000;

/** An append-only log in memory, with offsets, retention and long polls. */
export class MemoryLog implements Log {
  private readonly streams = new Map<string, Stream>();
  private lastAt = 0;
  /** Append calls so far. */
  appends = 0;

  constructor(private readonly options: Options) {}

  async append(name: string, values: readonly string[]): Promise<number> {
    const stream = this.stream(name);
    this.expire(stream);
    this.appends++;
    const offset = stream.next;
    const at = this.time();
    for (const value of values)
      stream.records.push({offset: stream.next++, at, value});
    stream.polls.wake();
    return offset;
  }

  async read(
    name: string,
    from: number,
    options: {waitMs: number; signal?: AbortSignal},
  ): Promise<LogPage> {
    const stream = this.stream(name);
    this.expire(stream);
    if (from >= stream.next && options.waitMs > 0)
      await stream.polls.wait(options.waitMs, options.signal);
    const first = stream.records[0]?.offset ?? stream.next;
    const start = Math.max(0, from - first);
    return {
      records: stream.records.slice(start, start + PAGE_MOST),
      first,
      next: stream.next,
    };
  }

  /** The names of all streams with the offsets that their next records will get. */
  ends(): Record<string, number> {
    return Object.fromEntries(
      [...this.streams].map(([name, stream]) => [name, stream.next]),
    );
  }

  private expire(stream: Stream): void {
    const oldest = this.options.clock.wall() - this.options.retentionMs;
    const kept = stream.records.findIndex(record => record.at >= oldest);
    if (kept > 0) stream.records.splice(0, kept);
    else if (kept === -1) stream.records = [];
  }

  /** The log's time never goes back. */
  private time(): number {
    this.lastAt = Math.max(this.lastAt, this.options.clock.wall());
    return this.lastAt;
  }

  private stream(name: string): Stream {
    let stream = this.streams.get(name);
    if (!stream) {
      stream = {records: [], next: 0, polls: new LongPolls(this.options)};
      this.streams.set(name, stream);
    }
    return stream;
  }
}
