import {write} from 'node:fs';
import type {EventSink} from './event_sink.js';

interface Options {
  /** The file descriptor written to; standard output when absent. */
  readonly descriptor?: number;
  /** Bytes that may wait while the reader is slow; further lines are dropped and counted. */
  readonly maxPendingBytes?: number;
}

/** File descriptor of the standard output. */
const STANDARD_OUTPUT = 1;
/** Some seconds of lines of a busy host, in bytes. */
const MAX_PENDING_BYTES = 262_144;
/** A pipe takes writes up to this size whole or not at all (PIPE_BUF of Linux), in bytes. */
const MAX_WRITE_BYTES = 4_096;
/** Lines are gathered for so long before they are written, in ms: each write wakes a thread. */
const BATCH_DELAY_MS = 50;
/** Longest wait for the reader when the process ends, in ms. */
const DRAIN_TIMEOUT_MS = 300;
/** Pause after the descriptor was not ready, in ms. */
const RETRY_DELAY_MS = 20;

/**
 * Writes lines to a descriptor without ever blocking the loop: one asynchronous write at a time, a
 * bounded queue behind it. Node's own standard output is synchronous for pipes.
 */
export class LineWriter implements EventSink {
  private pending: string[] = [];
  private pendingBytes = 0;
  private unwritten: Buffer = Buffer.alloc(0);
  private isWriting = false;
  private flushTimer: NodeJS.Timeout | undefined;
  private droppedCount = 0;
  private isStopped = false;

  constructor(private readonly options: Options = {}) {}

  /** Lines dropped since the start because the reader was too slow. */
  get droppedLines(): number {
    return this.droppedCount;
  }

  /** Takes a line without its end; it is written a little later, or dropped and counted. */
  write(line: string): void {
    const {maxPendingBytes = MAX_PENDING_BYTES} = this.options;
    if (this.pendingBytes + line.length > maxPendingBytes) {
      this.droppedCount += 1;
      return;
    }
    this.pending.push(line);
    this.pendingBytes += line.length + 1;
    if (!this.isWriting) this.scheduleFlush();
  }

  /** Writes what is pending, before the process ends; gives up on a reader that does not read. */
  async drain(): Promise<void> {
    const until = performance.now() + DRAIN_TIMEOUT_MS;
    clearTimeout(this.flushTimer);
    this.flush();
    while (this.hasUnwrittenLines && performance.now() < until)
      await new Promise(resolve => setTimeout(resolve, RETRY_DELAY_MS));
  }

  /** Writes nothing any more. */
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
    // Nobody reads any more; lines are counted and dropped from here on.
    this.droppedCount += this.pending.length + 1;
    this.pending = [];
    this.pendingBytes = 0;
    this.unwritten = Buffer.alloc(0);
  }
}
