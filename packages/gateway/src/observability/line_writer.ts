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
const GATHER_MS = 50;
/** Longest wait for the reader when the process ends, in ms. */
const DRAIN_MS = 300;
/** Pause after the descriptor was not ready, in ms. */
const RETRY_MS = 20;

/**
 * Writes lines to a descriptor without ever blocking the loop: one asynchronous write at a time, a
 * bounded queue behind it. Node's own standard output is synchronous for pipes.
 */
export class LineWriter implements EventSink {
  private pending: string[] = [];
  private pendingBytes = 0;
  private rest: Buffer = Buffer.alloc(0);
  private isWriting = false;
  private gathering: NodeJS.Timeout | undefined;
  private droppedLines = 0;
  private isStopped = false;

  constructor(private readonly options: Options = {}) {}

  /** Lines dropped since the start because the reader was too slow. */
  get dropped(): number {
    return this.droppedLines;
  }

  /** Takes a line without its end; it is written a little later, or dropped and counted. */
  write(line: string): void {
    const {maxPendingBytes = MAX_PENDING_BYTES} = this.options;
    if (this.pendingBytes + line.length > maxPendingBytes) {
      this.droppedLines += 1;
      return;
    }
    this.pending.push(line);
    this.pendingBytes += line.length + 1;
    if (!this.isWriting) this.gather();
  }

  /** Writes what is pending, before the process ends; gives up on a reader that does not read. */
  async drain(): Promise<void> {
    const until = performance.now() + DRAIN_MS;
    clearTimeout(this.gathering);
    this.flush();
    while (this.isBusy && performance.now() < until)
      await new Promise(resolve => setTimeout(resolve, RETRY_MS));
  }

  /** Writes nothing any more. */
  stop(): void {
    this.isStopped = true;
  }

  private get isBusy(): boolean {
    return this.isWriting || this.pending.length > 0;
  }

  private gather(): void {
    this.gathering ??= setTimeout(() => this.flush(), GATHER_MS);
  }

  private flush(): void {
    this.gathering = undefined;
    if (this.isStopped || this.isWriting) return;
    if (this.rest.length === 0) this.takePending();
    if (this.rest.length === 0) return;
    const {descriptor = STANDARD_OUTPUT} = this.options;
    this.isWriting = true;
    write(descriptor, this.rest, (error, count) => {
      this.isWriting = false;
      if (error) this.handle(error);
      else this.advance(count);
    });
  }

  private takePending(): void {
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
    this.rest = Buffer.from(lines.map(line => `${line}\n`).join(''));
  }

  private advance(count: number): void {
    this.rest = this.rest.subarray(count);
    this.flush();
  }

  private handle(error: NodeJS.ErrnoException): void {
    if (error.code === 'EAGAIN') {
      this.isWriting = true;
      setTimeout(() => {
        this.isWriting = false;
        this.flush();
      }, RETRY_MS);
      return;
    }
    // Nobody reads any more; lines are counted and dropped from here on.
    this.droppedLines += this.pending.length + 1;
    this.pending = [];
    this.pendingBytes = 0;
    this.rest = Buffer.alloc(0);
  }
}
