import type {ServerResponse} from 'node:http';
import type {StreamEvent} from '@bayspool/decisions/calls';
import type {Clock} from '@bayspool/kernel';
import type {OwnAnswer} from './own_answer.js';
import type {StreamHead} from './stream_head.js';
import type {WholeAnswer} from './whole_answer.js';

interface Options {
  readonly clock: Clock;
  readonly response: ServerResponse;
  /** The last event that the caller had before this request. */
  readonly lastEventId?: number;
  /** Whether the connection is to be closed behind the answer; asked when the head is written. */
  readonly closesAfter: () => boolean;
}

const MS_PER_SECOND = 1_000;
/** The header that tells when to come back, in seconds. */
const RETRY_AFTER = 'retry-after';
/** Statuses whose answers have no body (RFC 9110, 6.4.1). */
const NO_BODY_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/** The one answer that a caller gets: whole, or as events of one or several runs. */
export class CallerAnswer {
  private readonly response: ServerResponse;
  private last: number | undefined;
  private count = 0;
  private firstMs: number | undefined;
  private unframed = false;
  private lastEventAt: number | undefined;
  private longestMs = 0;

  constructor(private readonly options: Options) {
    this.response = options.response;
    this.last = options.lastEventId;
  }

  /** Whether the caller holds a part of the answer. */
  get hasBegun(): boolean {
    return this.response.headersSent;
  }

  /** Whether nothing more can be sent. */
  get isClosed(): boolean {
    return this.response.writableEnded || this.response.destroyed;
  }

  /** Whether the caller has to read before more is sent to it. */
  get isFull(): boolean {
    return this.response.writableNeedDrain && !this.isClosed;
  }

  /** The last whole event passed on, in this answer or before it. */
  get lastEventId(): number | undefined {
    return this.last;
  }

  /** How many events were passed on. */
  get events(): number {
    return this.count;
  }

  /** When the first byte was passed on, on this host's clock. */
  get firstByteAt(): number | undefined {
    return this.firstMs;
  }

  /** The longest pause between two events, in ms. */
  get longestPauseMs(): number {
    return this.longestMs;
  }

  /** Sends an answer of a runner that was received whole. */
  sendWhole(answer: WholeAnswer): void {
    this.noteFirst();
    this.writeRunnerHead(answer);
    if (NO_BODY_STATUSES.has(answer.status)) this.response.end();
    else this.response.end(answer.body);
  }

  /** Sends an answer that the gateway makes itself. */
  sendOwn({status, reason, retryAfterMs}: OwnAnswer): void {
    const body = Buffer.from(`${JSON.stringify({error: reason})}\n`);
    const headers = ['content-type', 'application/json'];
    headers.push('content-length', String(body.length));
    if (retryAfterMs !== undefined)
      headers.push(RETRY_AFTER, (retryAfterMs / MS_PER_SECOND).toFixed(3));
    this.writeHead(status, undefined, headers);
    this.response.end(body);
  }

  /** Passes an event on, behind the head if it is the first. @returns whether there is room for more */
  sendEvent(head: StreamHead, event: StreamEvent): boolean {
    if (!this.hasBegun) {
      this.noteFirst();
      this.writeRunnerHead(head);
    }
    if (event.id !== undefined) this.last = event.id;
    this.count += 1;
    this.notePause();
    return this.response.write(event.bytes);
  }

  /** Ends a stream that is whole; `head` is used if it had no event. */
  finishStream(head: StreamHead): void {
    if (!this.hasBegun) this.writeRunnerHead(head);
    this.response.end();
  }

  /**
   * Whether an answer that ended with its runner's connection may be ended as whole: only where the
   * caller also sees nothing but the connection's end, because it may have been cut off.
   */
  get acceptsUnframed(): boolean {
    return !this.hasBegun || this.unframed;
  }

  /** Ends an answer that cannot be completed, so that it does not look whole. */
  cut(): void {
    this.response.destroy();
  }

  /** Calls the action once when the caller can take more. */
  onRoom(action: () => void): void {
    this.response.once('drain', action);
  }

  private writeRunnerHead(head: StreamHead): void {
    if (head.isUnframed) this.leaveUnframed();
    this.writeHead(head.status, head.statusText, head.headers);
  }

  private leaveUnframed(): void {
    this.unframed = true;
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
    if (options.closesAfter()) response.shouldKeepAlive = false;
    if (statusText === undefined) response.writeHead(status, [...headers]);
    else response.writeHead(status, statusText, [...headers]);
  }

  private notePause(): void {
    const now = this.options.clock.now();
    const pauseMs = now - (this.lastEventAt ?? now);
    this.lastEventAt = now;
    this.longestMs = Math.max(this.longestMs, pauseMs);
  }

  private noteFirst(): void {
    this.firstMs ??= this.options.clock.now();
  }
}
