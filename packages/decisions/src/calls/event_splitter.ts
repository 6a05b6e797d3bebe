import type {StreamEvent} from './stream_event.js';

/** The bytes that end a line. */
const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/** Bytes of one unfinished event before the answer is taken as spoiled. */
const MAX_EVENT_BYTES = 1_048_576;

/**
 * Cuts the bytes of an event stream behind each whole event. Bytes of an unfinished event are kept
 * back, so that a caller never sees half of one.
 */
export class EventSplitter {
  private pending: Buffer = Buffer.alloc(0);
  /** Where the last line of the rest starts; what stands before was looked at. */
  private pendingLineStart = 0;

  /** Bytes of an event that has not ended yet. */
  get pendingBytes(): number {
    return this.pending.length;
  }

  /** Whether an event is larger than what is kept for one. */
  get isOversized(): boolean {
    return this.pending.length > MAX_EVENT_BYTES;
  }

  /** The whole events that these bytes complete, in order. */
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
