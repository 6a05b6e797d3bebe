import type {StreamEvent} from './stream_event.js';

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/** Maximum size of an unfinished event; a larger one makes the response invalid. */
const MAX_EVENT_BYTES = 1_048_576;

/**
 * Splits the bytes of an event stream after each complete event. Bytes of an unfinished event are
 * buffered, so that a caller never receives part of one.
 */
export class EventSplitter {
  private pending: Buffer = Buffer.alloc(0);
  /** Start of the last line in the pending bytes; everything before it has been scanned. */
  private pendingLineStart = 0;

  /** Number of buffered bytes of an unfinished event. */
  get pendingBytes(): number {
    return this.pending.length;
  }

  /** Whether the unfinished event exceeds the maximum size. */
  get isOversized(): boolean {
    return this.pending.length > MAX_EVENT_BYTES;
  }

  /** Adds bytes and returns the events that they complete, in order. */
  push(chunk: Buffer): StreamEvent[] {
    const bytes =
      this.pending.length === 0 ? chunk : Buffer.concat([this.pending, chunk]);
    const events: StreamEvent[] = [];
    let start = 0;
    let lineStart = this.pendingLineStart;
    for (let i = this.pending.length; i < bytes.length; i++) {
      if (bytes[i] !== LINE_FEED) continue;
      const isEmpty =
        i === lineStart ||
        (i === lineStart + 1 && bytes[lineStart] === CARRIAGE_RETURN);
      lineStart = i + 1;
      if (!isEmpty) continue;
      events.push(toEvent(bytes.subarray(start, lineStart)));
      start = lineStart;
    }
    this.pending = bytes.subarray(start);
    this.pendingLineStart = lineStart - start;
    return events;
  }
}

function toEvent(bytes: Buffer): StreamEvent {
  const id = /^id:[ ]?(\d+)\r?$/m.exec(bytes.toString('latin1'))?.[1];
  return {bytes, id: id === undefined ? undefined : Number(id)};
}
