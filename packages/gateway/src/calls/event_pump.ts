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
import type {StreamHead} from './stream_head.js';

interface Options {
  readonly answer: IncomingMessage;
  readonly connection: PooledConnection;
  readonly caller: CallerAnswer;
  /** The model's opinion of its answer, if it gave one. */
  readonly confidence?: number;
  /** How a failure at this time counts. */
  readonly failureKind: () => AttemptKind;
  /** Called when bytes came, before they are looked at. */
  readonly onBytes: () => void;
  /** Called for each event that is passed on, before it is. */
  readonly onEvent: () => void;
}

/** Passes the events of one runner's stream on to the caller, each whole and in order. */
export class EventPump {
  private readonly splitter = new EventSplitter();
  private readonly head: StreamHead;
  private isSettled = false;
  private resolve: (outcome: AttemptOutcome) => void = () => undefined;

  constructor(private readonly options: Options) {
    const {answer} = options;
    this.head = {
      status: answer.statusCode ?? 0,
      isUnframed: !isFramed(answer),
      statusText: answer.statusMessage ?? '',
      headers: answerHeaders(answer),
    };
  }

  /** Passes events on until the stream ends or fails. */
  run(): Promise<AttemptOutcome> {
    const {answer} = this.options;
    return new Promise(resolve => {
      this.resolve = resolve;
      answer.on('data', (chunk: Buffer) => this.take(chunk));
      answer.once('end', () => this.end());
      answer.once('error', () => this.fail('stream broke off'));
      answer.once('close', () => this.fail('stream closed'));
    });
  }

  private take(chunk: Buffer): void {
    this.options.onBytes();
    if (this.isSettled) return;
    const events = this.splitter.push(chunk);
    if (this.splitter.isOversized) return this.fail('event too large');
    for (const event of events) {
      const place = this.placeOf(event);
      if (place === 'gap') return this.fail('events out of order');
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
    if (this.isSettled) return;
    const {answer, connection, caller, confidence} = this.options;
    const {status, isUnframed} = this.head;
    if (!isWhole(answer, connection) || this.splitter.pendingBytes > 0)
      return this.fail('stream broke off');
    if (isUnframed && !caller.acceptsUnframed)
      return this.fail('end of the stream is not certain');
    this.isSettled = true;
    if (!caller.isClosed) caller.finishStream(this.head);
    const kind = AttemptKind.ANSWERED;
    this.resolve({kind, reason: 'whole', status, confidence});
  }

  private fail(reason: string): void {
    // Node closes an answer behind its end too; the connection is sound then.
    if (this.isSettled) return;
    this.isSettled = true;
    const {connection, confidence, failureKind} = this.options;
    const {status} = this.head;
    connection.discard();
    this.resolve({kind: failureKind(), reason, status, confidence});
  }
}
