import type {IncomingMessage} from 'node:http';
import type {PooledConnection} from '../runners/pooled_connection.js';
import {answerHeaders} from './answer_headers.js';
import {AttemptKind} from './attempt_kind.js';
import type {AttemptOutcome} from './attempt_outcome.js';
import {isFramed} from './is_framed.js';
import {isWhole} from './is_whole.js';
import {PendingOutcome} from './pending_outcome.js';
import type {WholeAnswer} from './whole_answer.js';

interface Options {
  readonly answer: IncomingMessage;
  readonly connection: PooledConnection;
  /** How a failure at this time counts. */
  readonly failureKind: () => AttemptKind;
  /** Whether this host has ended the attempt. */
  readonly isEnded: () => boolean;
  /** Called when bytes came, before they are looked at. */
  readonly onBytes: () => void;
  /** Called when the answer came to its end. */
  readonly onWhole: () => void;
}

/** Lowest status by which a runner says that it failed. */
const SERVER_ERROR = 500;
/** A whole answer that is larger is taken as spoiled; callers' bodies are bounded alike, in bytes. */
const MAX_ANSWER_BYTES = 16_777_216;

/** Receives a runner's answer whole, so that the call can still be repeated if it breaks off. */
export class AnswerReader {
  private readonly chunks: Buffer[] = [];
  private readonly status: number;
  private readonly outcome: PendingOutcome;
  private size = 0;

  constructor(private readonly options: Options) {
    this.status = options.answer.statusCode ?? 0;
    this.outcome = new PendingOutcome({...options, status: this.status});
  }

  /** Receives the answer until it ends or fails. */
  run(): Promise<AttemptOutcome> {
    const {answer} = this.options;
    answer.on('data', (chunk: Buffer) => this.take(chunk));
    answer.once('end', () => this.end());
    answer.once('error', () => this.outcome.cutOff('answer broke off'));
    answer.once('close', () => this.outcome.cutOff('answer closed'));
    return this.outcome.promise;
  }

  private take(chunk: Buffer): void {
    this.options.onBytes();
    this.size += chunk.length;
    if (this.size > MAX_ANSWER_BYTES)
      return this.outcome.fail('answer too large');
    this.chunks.push(chunk);
  }

  private end(): void {
    if (this.outcome.isSettled) return;
    const {answer, connection, onWhole} = this.options;
    if (!isWhole(answer, connection))
      return this.outcome.cutOff('answer broke off');
    onWhole();
    const {status} = this;
    const kind =
      status >= SERVER_ERROR ? AttemptKind.RUNNER_ERROR : AttemptKind.ANSWERED;
    const reason = `status ${status}`;
    this.outcome.succeed({kind, reason, status, answer: this.toWhole()});
  }

  private toWhole(): WholeAnswer {
    const {answer} = this.options;
    const body = Buffer.concat(this.chunks);
    const isUnframed = !isFramed(answer);
    return {
      status: this.status,
      statusText: answer.statusMessage ?? '',
      headers: answerHeaders(answer, isUnframed ? undefined : body.length),
      body,
      isUnframed,
    };
  }
}
