import type {IncomingMessage} from 'node:http';
import {ByteCollector} from '@bayspool/decisions/calls';
import type {PooledConnection} from '../runners/pooled_connection.js';
import {filterResponseHeaders} from './filter_response_headers.js';
import {OutcomeKind} from './outcome_kind.js';
import type {AttemptOutcome} from './attempt_outcome.js';
import type {HeldAmount} from './held_amount.js';
import type {ResponseReading} from './response_reading.js';
import {isResponseComplete} from './is_response_complete.js';
import {PendingOutcome} from './pending_outcome.js';
import type {BufferedResponse} from './buffered_response.js';

interface Options {
  readonly response: IncomingMessage;
  /** Method of the request. */
  readonly method: string;
  readonly connection: PooledConnection;
  readonly reading: ResponseReading;
  /** What this host holds of the response; given back if the response is not used. */
  readonly held: HeldAmount;
  /** Whether the runner has lately answered at least as many requests as it failed. */
  readonly isVouchedFor?: () => boolean;
  /** Called if the response is given up for want of memory, with what is held of it, in bytes. */
  readonly onGivenUp?: (bytes: number) => void;
  /** Whether the caller already has a part of another response, so that this one can't be passed on. */
  readonly isContinuation: boolean;
  /** Whether this run may answer the call; false once another run has delivered. */
  readonly claimDelivery: () => boolean;
  /** Returns the outcome kind of a failure at this time. */
  readonly failureKind: () => OutcomeKind;
  /** Why this host has aborted the attempt or closed its connection; undefined if it has not. */
  readonly abortReason: () => string | undefined;
  /** Called for each chunk, before it is processed. */
  readonly onBytes: () => void;
  /** Called when the response is complete. */
  readonly onComplete: () => void;
}

/** Lowest status by which a runner reports a failure. */
const SERVER_ERROR = 500;
/** Status of a response that may state the length of a body that it does not have. */
const NOT_MODIFIED = 304;
/** Larger responses count as broken, in bytes; request bodies have a similar limit. */
const MAX_RESPONSE_BYTES = 16_777_216;
/** A response up to this size does not wait near the bound, in bytes: it ends soon, and gives back what is held of it. */
const SMALL_RESPONSE_BYTES = 65_536;

/**
 * Buffers a runner's complete response, so that the call can still be retried if the response is
 * truncated.
 */
export class BufferedResponseReader {
  private readonly body = new ByteCollector();
  private readonly status: number;
  private readonly outcome: PendingOutcome;

  constructor(private readonly options: Options) {
    this.status = options.response.statusCode ?? 0;
    this.outcome = new PendingOutcome({...options, status: this.status});
  }

  /** Reads the response until it ends or fails. */
  run(): Promise<AttemptOutcome> {
    const {response} = this.options;
    response.on('data', (chunk: Buffer) => this.append(chunk));
    response.once('end', () => this.finish());
    response.once('error', () =>
      this.outcome.failTruncated('answer broke off'),
    );
    response.once('close', () => this.outcome.failTruncated('answer closed'));
    this.startHolding();
    void this.outcome.promise.then(({response: buffered}) => {
      if (buffered) this.options.held.stopGrowing();
      else this.options.held.release();
    });
    return this.outcome.promise;
  }

  private startHolding(): void {
    const {response, method, held, isVouchedFor = () => true} = this.options;
    const statedBytes = response.headers['content-length'];
    const isBodiless = method === 'HEAD' || this.status === NOT_MODIFIED;
    if (!isBodiless && Number(statedBytes ?? 0) > MAX_RESPONSE_BYTES)
      return this.outcome.fail('answer too large');
    if (statedBytes !== undefined) return;
    held.allowGivingUp({isVouchedFor, giveUp: () => this.giveUp()});
  }

  private giveUp(): void {
    const {held, onGivenUp} = this.options;
    if (this.outcome.isSettled) return;
    onGivenUp?.(this.body.length);
    this.outcome.giveUp('given up for want of memory');
    held.release();
  }

  private append(chunk: Buffer): void {
    if (this.outcome.isSettled) return;
    const {connection, held, reading, onBytes} = this.options;
    connection.noteBody(chunk.length);
    // The rest of a read still arrives after its connection was closed.
    if (connection.invalidReason !== undefined)
      return this.outcome.failTruncated(connection.invalidReason);
    onBytes();
    this.body.add(chunk);
    if (this.body.length > MAX_RESPONSE_BYTES)
      return this.outcome.fail('answer too large');
    held.set(this.body.length);
    if (this.body.length > SMALL_RESPONSE_BYTES) held.pauseNearBound(reading);
  }

  private finish(): void {
    if (this.outcome.isSettled) return;
    const {isContinuation, claimDelivery, onComplete} = this.options;
    if (!isResponseComplete(this.options))
      return this.outcome.failTruncated('answer was reset');
    const {status} = this;
    const isError = status >= SERVER_ERROR || isContinuation;
    if (!isError && !claimDelivery()) return;
    onComplete();
    const kind = isError ? OutcomeKind.RUNNER_ERROR : OutcomeKind.ANSWERED;
    const reason = `status ${status}`;
    this.outcome.succeed({
      kind,
      reason,
      status,
      response: this.toBufferedResponse(),
    });
  }

  private toBufferedResponse(): BufferedResponse {
    const {response} = this.options;
    const body = this.body.take();
    return {
      status: this.status,
      statusText: response.statusMessage ?? '',
      headers: filterResponseHeaders(response, body.length),
      body,
    };
  }
}
