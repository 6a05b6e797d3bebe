import {ByteCollector} from './byte_collector.js';
import type {StreamEvent} from './stream_event.js';

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/** Maximum size of an unfinished event; a larger one makes the response invalid. */
const MAX_EVENT_BYTES = 1_048_576;
/** Maximum size of the empty lines before an event, in bytes; more make the response invalid. */
const MAX_EMPTY_LINE_BYTES = 4_096;

/**
 * Splits the bytes of an event stream after each complete event. Bytes of an unfinished event are
 * buffered, so that a caller never receives part of one. Empty lines that end no event are part of the next one.
 */
export class EventSplitter {
  private readonly pending = new ByteCollector();
  /** Length of the last line in the pending bytes, and its only byte if it has just one. */
  private lineLength = 0;
  private lineByte = 0;
  /** Whether the pending bytes have a line that is not empty. */
  private hasContent = false;
  /** Size of the empty lines before the first line of the pending bytes that is not empty. */
  private emptyLineBytes = 0;
  private lineCount = 0;

  /** Number of buffered bytes of an unfinished event. */
  get pendingBytes(): number {
    return this.pending.length;
  }

  /** Whether the unfinished event, or the empty lines before it, exceed their maximum size. */
  get isOversized(): boolean {
    return (
      this.pending.length > MAX_EVENT_BYTES ||
      this.emptyLineBytes > MAX_EMPTY_LINE_BYTES
    );
  }

  /** Whether no event is unfinished: the pending bytes, if any, are empty lines. */
  get isBetweenEvents(): boolean {
    return !this.hasContent && this.lineLength === 0;
  }

  /** Number of lines that have ended since the last call. */
  takeLineCount(): number {
    const count = this.lineCount;
    this.lineCount = 0;
    return count;
  }

  /** Removes and returns the pending bytes. */
  takePending(): Buffer {
    return this.pending.take();
  }

  /** Adds bytes and returns the events that they complete, in order. */
  push(chunk: Buffer): StreamEvent[] {
    const events: StreamEvent[] = [];
    let start = 0;
    let lineStart = 0;
    let lineFeed = chunk.indexOf(LINE_FEED);
    while (lineFeed >= 0) {
      const endsEvent = this.endLine(chunk, lineStart, lineFeed);
      lineStart = lineFeed + 1;
      lineFeed = chunk.indexOf(LINE_FEED, lineStart);
      if (!endsEvent) continue;
      events.push(this.takeEvent(chunk.subarray(start, lineStart)));
      start = lineStart;
    }
    this.extendLine(chunk, lineStart, chunk.length);
    if (start < chunk.length) this.pending.add(chunk.subarray(start));
    return events;
  }

  private takeEvent(lastBytes: Buffer): StreamEvent {
    if (this.pending.length === 0) return toEvent(lastBytes);
    this.pending.add(lastBytes);
    return toEvent(this.pending.take());
  }

  /** Ends the line whose last bytes are those between the two indices. @returns whether it ends an event */
  private endLine(chunk: Buffer, start: number, end: number): boolean {
    this.extendLine(chunk, start, end);
    this.lineCount += 1;
    const isEmpty =
      this.lineLength === 0 ||
      (this.lineLength === 1 && this.lineByte === CARRIAGE_RETURN);
    if (isEmpty && !this.hasContent) this.emptyLineBytes += this.lineLength + 1;
    const endsEvent = isEmpty && this.hasContent;
    this.hasContent = !isEmpty || (this.hasContent && !endsEvent);
    if (endsEvent) this.emptyLineBytes = 0;
    this.lineLength = 0;
    return endsEvent;
  }

  private extendLine(chunk: Buffer, start: number, end: number): void {
    if (this.lineLength === 0 && start < end) this.lineByte = chunk[start];
    this.lineLength += end - start;
  }
}

function toEvent(bytes: Buffer): StreamEvent {
  const id = /^id:[ ]?(\d+)\r?$/m.exec(bytes.toString('latin1'))?.[1];
  return {bytes, id: id === undefined ? undefined : Number(id)};
}
