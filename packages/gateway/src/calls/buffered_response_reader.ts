import type {IncomingMessage} from 'node:http';
import type {PooledConnection} from '../runners/pooled_connection.js';
import {filterResponseHeaders} from './filter_response_headers.js';
import {OutcomeKind} from './outcome_kind.js';
import type {AttemptOutcome} from './attempt_outcome.js';
import {isSelfDelimited} from './is_self_delimited.js';
import {isResponseComplete} from './is_response_complete.js';
import {PendingOutcome} from './pending_outcome.js';
import type {BufferedResponse} from './buffered_response.js';

interface Options {
  readonly response: IncomingMessage;
  readonly connection: PooledConnection;
  /** How a failure at this time counts. */
  readonly failureKind: () => OutcomeKind;
  /** Whether this host has ended the attempt. */
  readonly isAborted: () => boolean;
  /** Called when bytes came, before they are looked at. */
  readonly onBytes: () => void;
  /** Called when the answer came to its end. */
  readonly onComplete: () => void;
}

/** Lowest status by which a runner says that it failed. */
const SERVER_ERROR = 500;
/** A whole answer that is larger is taken as spoiled; callers' bodies are bounded alike, in bytes. */
const MAX_RESPONSE_BYTES = 16_777_216;

/** Receives a runner's answer whole, so that the call can still be repeated if it breaks off. */
export class BufferedResponseReader {
  private readonly chunks: Buffer[] = [];
  private readonly status: number;
  private readonly outcome: PendingOutcome;
  private size = 0;

  constructor(private readonly options: Options) {
    this.status = options.response.statusCode ?? 0;
    this.outcome = new PendingOutcome({...options, status: this.status});
  }

  /** Receives the answer until it ends or fails. */
  run(): Promise<AttemptOutcome> {
    const {response: answer} = this.options;
    answer.on('data', (chunk: Buffer) => this.append(chunk));
    answer.once('end', () => this.finish());
    answer.once('error', () => this.outcome.failTruncated('answer broke off'));
    answer.once('close', () => this.outcome.failTruncated('answer closed'));
    return this.outcome.promise;
  }

  private append(chunk: Buffer): void {
    this.options.onBytes();
    this.size += chunk.length;
    if (this.size > MAX_RESPONSE_BYTES)
      return this.outcome.fail('answer too large');
    this.chunks.push(chunk);
  }

  private finish(): void {
    if (this.outcome.isSettled) return;
    const {response: answer, connection, onComplete: onWhole} = this.options;
    if (!isResponseComplete(answer, connection))
      return this.outcome.failTruncated('answer broke off');
    onWhole();
    const {status} = this;
    const kind =
      status >= SERVER_ERROR ? OutcomeKind.RUNNER_ERROR : OutcomeKind.ANSWERED;
    const reason = `status ${status}`;
    this.outcome.succeed({
      kind,
      reason,
      status,
      response: this.toBufferedResponse(),
    });
  }

  private toBufferedResponse(): BufferedResponse {
    const {response: answer} = this.options;
    const body = Buffer.concat(this.chunks);
    const isUnframed = !isSelfDelimited(answer);
    return {
      status: this.status,
      statusText: answer.statusMessage ?? '',
      headers: filterResponseHeaders(
        answer,
        isUnframed ? undefined : body.length,
      ),
      body,
      isCloseDelimited: isUnframed,
    };
  }
}
