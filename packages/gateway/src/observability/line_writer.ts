import {write} from 'node:fs';
import type {EventSink} from './event_sink.js';

interface Options {
  /** File descriptor to write to; standard output by default. */
  readonly descriptor?: number;
  /** Bytes that may be queued while the reader is slow; further lines are dropped and counted. */
  readonly maxPendingBytes?: number;
}

/** File descriptor of standard output. */
const STANDARD_OUTPUT = 1;
/** Default queue size, in bytes: a few seconds of lines of a busy host. */
const MAX_PENDING_BYTES = 262_144;
/** Largest write that a pipe takes atomically (PIPE_BUF on Linux), in bytes. */
const MAX_WRITE_BYTES = 4_096;
/** Time for which lines are batched before a write, in ms: each write wakes a thread. */
const BATCH_DELAY_MS = 50;
/** Longest wait for the reader on exit, in ms. */
const DRAIN_TIMEOUT_MS = 300;
/** Delay before a retry after the descriptor was not ready, in ms. */
const RETRY_DELAY_MS = 20;

/**
 * Writes lines to a file descriptor without blocking the event loop: one asynchronous write at a time and a
 * bounded queue behind it. Node's `process.stdout` is synchronous for pipes.
 */
export class LineWriter implements EventSink {
  private pending: string[] = [];
  private pendingBytes = 0;
  private unwritten: Buffer = Buffer.alloc(0);
  private isWriting = false;
  private flushTimer: NodeJS.Timeout | undefined;
  private droppedCount = 0;
  private isStopped = false;
  /** Whether the last lines are being written, so that none is added. */
  private isDraining = false;

  constructor(private readonly options: Options = {}) {}

  /** Lines dropped since the start because the reader was too slow or gone. */
  get droppedLines(): number {
    return this.droppedCount;
  }

  /** Queues a line without its line break for the next batch, or drops and counts it. */
  write(line: string): void {
    const {maxPendingBytes = MAX_PENDING_BYTES} = this.options;
    if (this.isDraining || this.pendingBytes + line.length > maxPendingBytes) {
      this.droppedCount += 1;
      return;
    }
    this.pending.push(line);
    this.pendingBytes += line.length + 1;
    if (!this.isWriting) this.scheduleFlush();
  }

  /** Writes the pending lines before the process exits, and takes no further ones; gives up on a reader that does not read. */
  async drain(): Promise<void> {
    this.isDraining = true;
    const until = performance.now() + DRAIN_TIMEOUT_MS;
    clearTimeout(this.flushTimer);
    this.flush();
    while (this.hasUnwrittenLines && performance.now() < until)
      await new Promise(resolve => setTimeout(resolve, RETRY_DELAY_MS));
  }

  /** Stops writing. */
  stop(): void {
    this.isStopped = true;
  }

  private get hasUnwrittenLines(): boolean {
    return this.isWriting || this.pending.length > 0;
  }

  private scheduleFlush(): void {
    this.flushTimer ??= setTimeout(() => this.flush(), BATCH_DELAY_MS);
  }

  private flush(): void {
    this.flushTimer = undefined;
    if (this.isStopped || this.isWriting) return;
    if (this.unwritten.length === 0) this.fillBatch();
    if (this.unwritten.length === 0) return;
    const {descriptor = STANDARD_OUTPUT} = this.options;
    this.isWriting = true;
    write(descriptor, this.unwritten, (error, count) => {
      this.isWriting = false;
      if (error) this.handleError(error);
      else this.consume(count);
    });
  }

  private fillBatch(): void {
    const lines: string[] = [];
    let size = 0;
    while (this.pending.length > 0) {
      const [line] = this.pending;
      const bytes = Buffer.byteLength(line) + 1;
      if (size > 0 && size + bytes > MAX_WRITE_BYTES) break;
      size += bytes;
      lines.push(line);
      this.pending.shift();
      this.pendingBytes -= line.length + 1;
    }
    this.unwritten = Buffer.from(lines.map(line => `${line}\n`).join(''));
  }

  private consume(count: number): void {
    this.unwritten = this.unwritten.subarray(count);
    this.flush();
  }

  private handleError(error: NodeJS.ErrnoException): void {
    if (error.code === 'EAGAIN') {
      this.isWriting = true;
      setTimeout(() => {
        this.isWriting = false;
        this.flush();
      }, RETRY_DELAY_MS);
      return;
    }
    // The reader is gone: drops and counts the pending lines.
    this.droppedCount += this.pending.length + 1;
    this.pending = [];
    this.pendingBytes = 0;
    this.unwritten = Buffer.alloc(0);
  }
}
