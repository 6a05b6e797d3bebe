import type {ServerResponse} from 'node:http';
import type {StreamEvent} from '@bayspool/decisions/calls';
import type {Clock} from '@bayspool/kernel';
import type {CallHolding} from './call_holding.js';
import type {LocalResponse} from './local_response.js';
import type {HeldAmount} from './held_amount.js';
import type {ResponseHead} from './response_head.js';
import type {BufferedResponse} from './buffered_response.js';

interface Options {
  readonly clock: Clock;
  readonly response: ServerResponse;
  /** What this host holds for the call. */
  readonly held: CallHolding;
  /** Id of the last event that the caller received before this request. */
  readonly lastEventId?: number;
  /** Whether to close the connection after the response; evaluated when the headers are written. */
  readonly shouldCloseConnection: () => boolean;
  /**
   * Header that marks the gateway's own responses to requests that have not run; absent if the caller is no host that
   * relays the call.
   */
  readonly notRunHeader?: string;
}

const MS_PER_SECOND = 1_000;
/** Header with the time until the next try, in seconds. */
const RETRY_AFTER = 'retry-after';
/** Statuses by which the gateway itself tells that the request may have run. */
const MAY_HAVE_RUN_STATUSES: ReadonlySet<number> = new Set([502, 504]);
/** Statuses whose responses have no body (RFC 9110, 6.4.1). */
const NO_BODY_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/** The response to a caller: sent at once, or as events of one or several attempts. */
export class CallerResponse {
  private readonly response: ServerResponse;
  private lastId: number | undefined;
  private sentEvents = 0;
  private firstSentAt: number | undefined;
  private isCloseDelimited = false;
  private lastEventAt: number | undefined;
  private longestPause = 0;
  private hasHeldUp = false;

  constructor(private readonly options: Options) {
    this.response = options.response;
    this.lastId = options.lastEventId;
  }

  /** Whether a part of the response has been sent. */
  get hasStarted(): boolean {
    return this.response.headersSent;
  }

  /** Whether nothing more can be sent. */
  get isClosed(): boolean {
    return this.response.writableEnded || this.response.destroyed;
  }

  /** Whether the send buffer is full, so that the caller has to read before more is sent. */
  get needsDrain(): boolean {
    return this.response.writableNeedDrain && !this.isClosed;
  }

  /** Id of the last complete event that the caller received, in this response or before it. */
  get lastEventId(): number | undefined {
    return this.lastId;
  }

  /** Whether the caller read so slowly that its response had to wait for it. */
  get wasReadSlowly(): boolean {
    return this.hasHeldUp;
  }

  /** Whether the caller has received the beginning in an earlier response. */
  get isContinued(): boolean {
    return this.options.lastEventId !== undefined;
  }

  /** Number of events sent in this response. */
  get eventCount(): number {
    return this.sentEvents;
  }

  /** When the first byte was sent, on this host's clock. */
  get firstByteAt(): number | undefined {
    return this.firstSentAt;
  }

  /** Longest pause between two events, in ms. */
  get longestPauseMs(): number {
    return this.longestPause;
  }

  /** Sends a buffered response of a runner. */
  sendBuffered(buffered: BufferedResponse): void {
    this.recordFirstByte();
    const {status, statusText, headers} = buffered;
    this.writeHead(status, statusText, headers);
    if (NO_BODY_STATUSES.has(buffered.status)) this.response.end();
    else this.response.end(buffered.body);
    this.options.held.updateUnsent();
  }

  /** Sends a response that the gateway generates itself. */
  sendLocal({status, reason, retryAfterMs}: LocalResponse): void {
    const body = Buffer.from(`${JSON.stringify({error: reason})}\n`);
    const headers = ['content-type', 'application/json'];
    headers.push('content-length', String(body.length));
    if (retryAfterMs !== undefined)
      headers.push(RETRY_AFTER, (retryAfterMs / MS_PER_SECOND).toFixed(3));
    const {notRunHeader} = this.options;
    if (notRunHeader !== undefined && !MAY_HAVE_RUN_STATUSES.has(status))
      headers.push(notRunHeader, '1');
    this.writeHead(status, undefined, headers);
    this.response.end(body);
  }

  /**
   * Sends consecutive events, at least one, preceded by the headers if they are the first.
   *
   * @returns whether the send buffer can take more
   */
  sendEvents(head: ResponseHead, events: readonly StreamEvent[]): boolean {
    if (!this.hasStarted) {
      this.recordFirstByte();
      this.writeStreamHead(head);
    }
    for (const {id} of events) this.lastId = id ?? this.lastId;
    this.sentEvents += events.length;
    this.recordPause();
    const hasRoom = this.response.write(joinBytes(events));
    if (!hasRoom) this.options.held.updateUnsent();
    return hasRoom;
  }

  /** Ends a complete stream with the bytes after its last event; `head` is sent if the stream had no event. */
  endStream(head: ResponseHead, rest: Buffer): void {
    if (!this.hasStarted) this.writeStreamHead(head);
    this.response.end(rest);
    this.options.held.updateUnsent();
  }

  /**
   * Closes the connection of a response that can't be completed, so that it doesn't look complete. The
   * end of the connection completes a close-delimited response, unless it is a reset.
   */
  abort(): void {
    if (this.isCloseDelimited) this.response.socket?.resetAndDestroy();
    this.response.destroy();
  }

  /** Returns an amount of the host's ledger for a response that is buffered for this caller. */
  holdResponse(): HeldAmount {
    return this.options.held.holdResponse();
  }

  /** Calls the action once, when the send buffer has drained. */
  onDrain(action: () => void): void {
    this.hasHeldUp = true;
    this.response.once('drain', action);
  }

  /**
   * Starts a response in chunks, however the runner delimits its own: if this process is killed, the end of the
   * connection would complete a close-delimited response.
   */
  private writeStreamHead({status, statusText, headers}: ResponseHead): void {
    this.writeHead(status, statusText, headers);
    // A caller that speaks HTTP/1.0 takes no chunks.
    this.isCloseDelimited = !this.response.chunkedEncoding;
  }

  private writeHead(
    status: number,
    statusText: string | undefined,
    headers: readonly string[],
  ): void {
    const {response, options} = this;
    response.sendDate = false;
    if (options.shouldCloseConnection()) response.shouldKeepAlive = false;
    if (statusText === undefined) response.writeHead(status, [...headers]);
    else response.writeHead(status, statusText, [...headers]);
  }

  private recordPause(): void {
    const now = this.options.clock.now();
    const pauseMs = now - (this.lastEventAt ?? now);
    this.lastEventAt = now;
    this.longestPause = Math.max(this.longestPause, pauseMs);
  }

  private recordFirstByte(): void {
    this.firstSentAt ??= this.options.clock.now();
  }
}

function joinBytes(events: readonly StreamEvent[]): Buffer {
  if (events.length === 1) return events[0].bytes;
  return Buffer.concat(events.map(({bytes}) => bytes));
}
