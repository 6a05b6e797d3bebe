import type {ServerResponse} from 'node:http';
import type {StreamEvent} from '@bayspool/decisions/calls';
import type {Clock} from '@bayspool/kernel';
import type {LocalResponse} from './local_response.js';
import type {ResponseHead} from './response_head.js';
import type {BufferedResponse} from './buffered_response.js';

interface Options {
  readonly clock: Clock;
  readonly response: ServerResponse;
  /** The last event that the caller had before this request. */
  readonly lastEventId?: number;
  /** Whether the connection is to be closed behind the answer; asked when the head is written. */
  readonly shouldCloseConnection: () => boolean;
}

const MS_PER_SECOND = 1_000;
/** The header that tells when to come back, in seconds. */
const RETRY_AFTER = 'retry-after';
/** Statuses whose answers have no body (RFC 9110, 6.4.1). */
const NO_BODY_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/** The one answer that a caller gets: whole, or as events of one or several runs. */
export class CallerResponse {
  private readonly response: ServerResponse;
  private lastId: number | undefined;
  private sentEvents = 0;
  private firstSentAt: number | undefined;
  private closeDelimited = false;
  private lastEventAt: number | undefined;
  private longestPause = 0;

  constructor(private readonly options: Options) {
    this.response = options.response;
    this.lastId = options.lastEventId;
  }

  /** Whether the caller holds a part of the answer. */
  get hasStarted(): boolean {
    return this.response.headersSent;
  }

  /** Whether nothing more can be sent. */
  get isClosed(): boolean {
    return this.response.writableEnded || this.response.destroyed;
  }

  /** Whether the caller has to read before more is sent to it. */
  get needsDrain(): boolean {
    return this.response.writableNeedDrain && !this.isClosed;
  }

  /** The last whole event passed on, in this answer or before it. */
  get lastEventId(): number | undefined {
    return this.lastId;
  }

  /** How many events were passed on. */
  get eventCount(): number {
    return this.sentEvents;
  }

  /** When the first byte was passed on, on this host's clock. */
  get firstByteAt(): number | undefined {
    return this.firstSentAt;
  }

  /** The longest pause between two events, in ms. */
  get longestPauseMs(): number {
    return this.longestPause;
  }

  /** Sends an answer of a runner that was received whole. */
  sendBuffered(answer: BufferedResponse): void {
    this.recordFirstByte();
    this.writeRunnerHead(answer);
    if (NO_BODY_STATUSES.has(answer.status)) this.response.end();
    else this.response.end(answer.body);
  }

  /** Sends an answer that the gateway makes itself. */
  sendLocal({status, reason, retryAfterMs}: LocalResponse): void {
    const body = Buffer.from(`${JSON.stringify({error: reason})}\n`);
    const headers = ['content-type', 'application/json'];
    headers.push('content-length', String(body.length));
    if (retryAfterMs !== undefined)
      headers.push(RETRY_AFTER, (retryAfterMs / MS_PER_SECOND).toFixed(3));
    this.writeHead(status, undefined, headers);
    this.response.end(body);
  }

  /** Passes an event on, behind the head if it is the first. @returns whether there is room for more */
  sendEvent(head: ResponseHead, event: StreamEvent): boolean {
    if (!this.hasStarted) {
      this.recordFirstByte();
      this.writeRunnerHead(head);
    }
    if (event.id !== undefined) this.lastId = event.id;
    this.sentEvents += 1;
    this.recordPause();
    return this.response.write(event.bytes);
  }

  /** Ends a stream that is whole; `head` is used if it had no event. */
  endStream(head: ResponseHead): void {
    if (!this.hasStarted) this.writeRunnerHead(head);
    this.response.end();
  }

  /**
   * Whether an answer that ended with its runner's connection may be ended as whole: only where the
   * caller also sees nothing but the connection's end, because it may have been cut off.
   */
  get acceptsCloseDelimited(): boolean {
    return !this.hasStarted || this.closeDelimited;
  }

  /** Ends an answer that cannot be completed, so that it does not look whole. */
  abort(): void {
    this.response.destroy();
  }

  /** Calls the action once when the caller can take more. */
  onDrain(action: () => void): void {
    this.response.once('drain', action);
  }

  private writeRunnerHead(head: ResponseHead): void {
    if (head.isCloseDelimited) this.useCloseDelimiting();
    this.writeHead(head.status, head.statusText, head.headers);
  }

  private useCloseDelimiting(): void {
    this.closeDelimited = true;
    this.response.useChunkedEncodingByDefault = false;
    this.response.shouldKeepAlive = false;
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
