import type {IncomingMessage} from 'node:http';
import {EventSplitter} from '@bayspool/decisions/calls';
import type {StreamEvent} from '@bayspool/decisions/calls';
import type {PooledConnection} from '../runners/pooled_connection.js';
import {filterResponseHeaders} from './filter_response_headers.js';
import {OutcomeKind} from './outcome_kind.js';
import type {AttemptOutcome} from './attempt_outcome.js';
import type {CallerResponse} from './caller_response.js';
import {isSelfDelimited} from './is_self_delimited.js';
import {isResponseComplete} from './is_response_complete.js';
import {PendingOutcome} from './pending_outcome.js';
import type {ResponseHead} from './response_head.js';

interface Options {
  readonly response: IncomingMessage;
  readonly connection: PooledConnection;
  readonly caller: CallerResponse;
  /** The model's opinion of its answer, if it gave one. */
  readonly confidence?: number;
  /** How a failure at this time counts. */
  readonly failureKind: () => OutcomeKind;
  /** Whether this host has ended the attempt. */
  readonly isAborted: () => boolean;
  /** Called when bytes came, before they are looked at. */
  readonly onBytes: () => void;
  /** Called for each event that is passed on, before it is. */
  readonly onEvent: () => void;
}

/** Passes the events of one runner's stream on to the caller, each whole and in order. */
export class EventRelay {
  private readonly splitter = new EventSplitter();
  private readonly head: ResponseHead;
  private readonly outcome: PendingOutcome;

  constructor(private readonly options: Options) {
    const {response: answer} = options;
    this.head = {
      status: answer.statusCode ?? 0,
      isCloseDelimited: !isSelfDelimited(answer),
      statusText: answer.statusMessage ?? '',
      headers: filterResponseHeaders(answer),
    };
    const {status} = this.head;
    this.outcome = new PendingOutcome({...options, status});
  }

  /** Passes events on until the stream ends or fails. */
  run(): Promise<AttemptOutcome> {
    const {response: answer} = this.options;
    answer.on('data', (chunk: Buffer) => this.relayChunk(chunk));
    answer.once('end', () => this.finish());
    answer.once('error', () => this.outcome.failTruncated('stream broke off'));
    answer.once('close', () => this.outcome.failTruncated('stream closed'));
    return this.outcome.promise;
  }

  private relayChunk(chunk: Buffer): void {
    this.options.onBytes();
    if (this.outcome.isSettled) return;
    const events = this.splitter.push(chunk);
    if (this.splitter.isOversized) return this.outcome.fail('event too large');
    for (const event of events) {
      const place = this.classifyEvent(event);
      if (place === 'gap') return this.outcome.fail('events out of order');
      if (place === 'next') this.relayEvent(event);
    }
  }

  private relayEvent(event: StreamEvent): void {
    const {response: answer, caller, onEvent} = this.options;
    if (caller.isClosed) return;
    onEvent();
    if (caller.sendEvent(this.head, event)) return;
    answer.pause();
    caller.onDrain(() => answer.resume());
  }

  /** Whether an event is the next one, was passed on before, or leaves some out. */
  private classifyEvent(event: StreamEvent): 'next' | 'seen' | 'gap' {
    const last = this.options.caller.lastEventId;
    if (event.id === undefined || last === undefined) return 'next';
    if (event.id <= last) return 'seen';
    return event.id === last + 1 ? 'next' : 'gap';
  }

  private finish(): void {
    if (this.outcome.isSettled) return;
    const {response: answer, connection, caller, confidence} = this.options;
    const {status, isCloseDelimited: isUnframed} = this.head;
    if (
      !isResponseComplete(answer, connection) ||
      this.splitter.pendingBytes > 0
    )
      return this.outcome.failTruncated('stream broke off');
    if (isUnframed && !caller.acceptsCloseDelimited)
      return this.outcome.fail('end of the stream is not certain');
    if (!caller.isClosed) caller.endStream(this.head);
    const kind = OutcomeKind.ANSWERED;
    this.outcome.succeed({kind, reason: 'whole', status, confidence});
  }
}
