import type {IncomingMessage} from 'node:http';
import {EventSplitter} from '@bayspool/decisions/calls';
import type {StreamEvent} from '@bayspool/decisions/calls';
import type {PooledConnection} from '../runners/pooled_connection.js';
import {answerHeaders} from './answer_headers.js';
import {AttemptKind} from './attempt_kind.js';
import type {AttemptOutcome} from './attempt_outcome.js';
import type {CallerAnswer} from './caller_answer.js';
import {isFramed} from './is_framed.js';
import {isWhole} from './is_whole.js';
import {PendingOutcome} from './pending_outcome.js';
import type {StreamHead} from './stream_head.js';

interface Options {
  readonly answer: IncomingMessage;
  readonly connection: PooledConnection;
  readonly caller: CallerAnswer;
  /** The model's opinion of its answer, if it gave one. */
  readonly confidence?: number;
  /** How a failure at this time counts. */
  readonly failureKind: () => AttemptKind;
  /** Whether this host has ended the attempt. */
  readonly isEnded: () => boolean;
  /** Called when bytes came, before they are looked at. */
  readonly onBytes: () => void;
  /** Called for each event that is passed on, before it is. */
  readonly onEvent: () => void;
}

/** Passes the events of one runner's stream on to the caller, each whole and in order. */
export class EventPump {
  private readonly splitter = new EventSplitter();
  private readonly head: StreamHead;
  private readonly outcome: PendingOutcome;

  constructor(private readonly options: Options) {
    const {answer} = options;
    this.head = {
      status: answer.statusCode ?? 0,
      isUnframed: !isFramed(answer),
      statusText: answer.statusMessage ?? '',
      headers: answerHeaders(answer),
    };
    const {status} = this.head;
    this.outcome = new PendingOutcome({...options, status});
  }

  /** Passes events on until the stream ends or fails. */
  run(): Promise<AttemptOutcome> {
    const {answer} = this.options;
    answer.on('data', (chunk: Buffer) => this.take(chunk));
    answer.once('end', () => this.end());
    answer.once('error', () => this.outcome.cutOff('stream broke off'));
    answer.once('close', () => this.outcome.cutOff('stream closed'));
    return this.outcome.promise;
  }

  private take(chunk: Buffer): void {
    this.options.onBytes();
    if (this.outcome.isSettled) return;
    const events = this.splitter.push(chunk);
    if (this.splitter.isOversized) return this.outcome.fail('event too large');
    for (const event of events) {
      const place = this.placeOf(event);
      if (place === 'gap') return this.outcome.fail('events out of order');
      if (place === 'next') this.pass(event);
    }
  }

  private pass(event: StreamEvent): void {
    const {answer, caller, onEvent} = this.options;
    if (caller.isClosed) return;
    onEvent();
    if (caller.sendEvent(this.head, event)) return;
    answer.pause();
    caller.onRoom(() => answer.resume());
  }

  /** Whether an event is the next one, was passed on before, or leaves some out. */
  private placeOf(event: StreamEvent): 'next' | 'seen' | 'gap' {
    const last = this.options.caller.lastEventId;
    if (event.id === undefined || last === undefined) return 'next';
    if (event.id <= last) return 'seen';
    return event.id === last + 1 ? 'next' : 'gap';
  }

  private end(): void {
    if (this.outcome.isSettled) return;
    const {answer, connection, caller, confidence} = this.options;
    const {status, isUnframed} = this.head;
    if (!isWhole(answer, connection) || this.splitter.pendingBytes > 0)
      return this.outcome.cutOff('stream broke off');
    if (isUnframed && !caller.acceptsUnframed)
      return this.outcome.fail('end of the stream is not certain');
    if (!caller.isClosed) caller.finishStream(this.head);
    const kind = AttemptKind.ANSWERED;
    this.outcome.succeed({kind, reason: 'whole', status, confidence});
  }
}
