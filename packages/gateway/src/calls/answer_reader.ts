import type {IncomingMessage} from 'node:http';
import type {PooledConnection} from '../runners/pooled_connection.js';
import {answerHeaders} from './answer_headers.js';
import {AttemptKind} from './attempt_kind.js';
import type {AttemptOutcome} from './attempt_outcome.js';
import {isFramed} from './is_framed.js';
import {isWhole} from './is_whole.js';
import type {WholeAnswer} from './whole_answer.js';

interface Options {
  readonly answer: IncomingMessage;
  readonly connection: PooledConnection;
  /** How a failure at this time counts. */
  readonly failureKind: () => AttemptKind;
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
  private size = 0;
  private isSettled = false;
  private resolve: (outcome: AttemptOutcome) => void = () => undefined;

  constructor(private readonly options: Options) {
    this.status = options.answer.statusCode ?? 0;
  }

  /** Receives the answer until it ends or fails. */
  run(): Promise<AttemptOutcome> {
    const {answer} = this.options;
    return new Promise(resolve => {
      this.resolve = resolve;
      answer.on('data', (chunk: Buffer) => this.take(chunk));
      answer.once('end', () => this.end());
      answer.once('error', () => this.fail('answer broke off'));
      answer.once('close', () => this.fail('answer closed'));
    });
  }

  private take(chunk: Buffer): void {
    this.options.onBytes();
    this.size += chunk.length;
    if (this.size > MAX_ANSWER_BYTES) return this.fail('answer too large');
    this.chunks.push(chunk);
  }

  private end(): void {
    if (this.isSettled) return;
    const {answer, connection, onWhole} = this.options;
    if (!isWhole(answer, connection)) return this.fail('answer broke off');
    onWhole();
    this.isSettled = true;
    const {status} = this;
    const kind =
      status >= SERVER_ERROR ? AttemptKind.RUNNER_ERROR : AttemptKind.ANSWERED;
    const reason = `status ${status}`;
    this.resolve({kind, reason, status, answer: this.toWhole()});
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

  private fail(reason: string): void {
    // Node closes an answer behind its end too; the connection is sound then.
    if (this.isSettled) return;
    this.isSettled = true;
    const {connection, failureKind} = this.options;
    connection.discard();
    this.resolve({kind: failureKind(), reason, status: this.status});
  }
}
