import {ConnectionEnd} from '@bayspool/kernel';
import type {Clock} from '@bayspool/kernel';
import type {Socket} from 'node:net';
import {ChunkBound} from './chunk_bound.js';
import {FramingGuard} from './framing_guard.js';
import {UnansweredRequests} from './unanswered_requests.js';

interface Options {
  readonly clock: Clock;
  readonly socket: Socket;
  readonly onIdle: (connection: PooledConnection) => void;
  readonly onClose: (connection: PooledConnection) => void;
  /** Called when bytes arrive that belong to no response. */
  readonly onExcessBytes?: () => void;
}

/** Idle timeout of a connection whose runner announced none, in ms. */
const DEFAULT_IDLE_TIMEOUT_MS = 4_000;
/** Subtracted from the announced idle timeout, in ms, so that no request is sent while the runner closes the connection. */
const IDLE_TIMEOUT_MARGIN_MS = 700;

/** Maximum number of interim responses before a response. */
const MAX_INTERIM_RESPONSES = 64;

/** A connection to a runner that carries one request at a time. */
export class PooledConnection {
  readonly socket: Socket;
  private idleTimeoutMs = DEFAULT_IDLE_TIMEOUT_MS;
  private expiresAt = Infinity;
  private failed = false;
  private invalid: string | undefined;
  private wasDiscarded = false;
  private hadExcess = false;
  private interimResponses = 0;
  private readonly end: ConnectionEnd;
  private readonly unanswered: UnansweredRequests;
  private readonly framingGuard: FramingGuard;
  private readonly chunkBound: ChunkBound;
  private readonly discardOnExcess = () => this.discardExcess();

  constructor(private readonly options: Options) {
    const {socket, onClose} = options;
    this.socket = socket;
    this.end = new ConnectionEnd(socket);
    this.unanswered = new UnansweredRequests(options);
    this.chunkBound = new ChunkBound(options);
    this.framingGuard = new FramingGuard({
      socket,
      onExceeded: () => this.discardInvalid('too many bytes besides the body'),
    });
    socket.on('free', () => this.markIdle());
    socket.once('close', () => onClose(this));
    // A request that uses the socket gets its errors; an idle socket just closes.
    socket.on('error', () => {
      this.failed = true;
    });
  }

  /** Whether neither side has closed the connection, as far as this host has read. */
  get isOpen(): boolean {
    return !this.socket.destroyed && this.socket.writable;
  }

  /** Whether a request may be sent on the connection now. */
  get isUsable(): boolean {
    return (
      this.isOpen &&
      !this.unanswered.isFull &&
      this.options.clock.now() < this.expiresAt
    );
  }

  /** Whether the connection was reset or failed otherwise, and was not closed normally. */
  get hasFailed(): boolean {
    return this.failed;
  }

  /** Whether the runner closed the connection in the ordinary way. */
  get wasClosedByRunner(): boolean {
    return this.end.wasOrderly;
  }

  /** Why the bytes on the connection are no valid response; undefined if nothing is wrong with them. */
  get invalidReason(): string | undefined {
    return this.invalid;
  }

  /** Whether a request may be sent on the connection: not if its response could be taken for that to an earlier attempt. */
  canCarry(requestId: string): boolean {
    return !this.unanswered.has(requestId);
  }

  /** Notes that the response to a request does not answer its call, which may be sent again until its deadline. */
  noteUnanswered(requestId: string, deadlineAt: number): void {
    this.unanswered.add(requestId, deadlineAt);
  }

  /** Marks the connection as in use by a request. */
  markInUse(): void {
    this.socket.off('data', this.discardOnExcess);
    this.expiresAt = Infinity;
  }

  /** @param seconds how long the runner keeps an idle connection, as it announced */
  noteKeepAlive(seconds: number): void {
    this.idleTimeoutMs = Math.max(0, seconds * 1_000 - IDLE_TIMEOUT_MARGIN_MS);
  }

  /** Returns the connection to the pool when nothing was sent on it. */
  release(): void {
    this.markIdle();
  }

  /** Starts to limit the chunks of a response, and the bytes that it takes besides its body. */
  noteSent(): void {
    this.interimResponses = 0;
    this.framingGuard.start();
    this.chunkBound.start();
  }

  /** Notes an interim response. */
  noteInterim(): void {
    this.interimResponses += 1;
    if (this.interimResponses > MAX_INTERIM_RESPONSES)
      this.discardInvalid('too many interim responses');
  }

  /** Notes a chunk of the body of the response, of this many bytes. */
  noteBody(bytes: number): void {
    this.framingGuard.recordBody(bytes);
    this.chunkBound.record(bytes);
    if (this.chunkBound.isExceeded)
      this.discardInvalid('too many small chunks');
  }

  /** Closes the connection at once, because its bytes are no valid response. */
  discardInvalid(reason: string): void {
    this.invalid ??= reason;
    this.discard();
  }

  /** Closes the connection at once, because bytes follow a complete response. */
  discardExcess(): void {
    if (!this.hadExcess) this.options.onExcessBytes?.();
    this.hadExcess = true;
    this.discard();
  }

  /** Closes the connection at once; it is not used again. */
  discard(): void {
    this.wasDiscarded = true;
    this.socket.destroy();
  }

  private markIdle(): void {
    this.framingGuard.stop();
    // Node closes a connection on which a second response follows the first.
    const {destroyed, readableEnded, errored} = this.socket;
    if (this.wasDiscarded || errored) return;
    if (destroyed && !readableEnded) return this.discardExcess();
    this.expiresAt = this.options.clock.now() + this.idleTimeoutMs;
    // Bytes on an idle connection belong to no response: the connection is no longer usable.
    this.socket.on('data', this.discardOnExcess);
    this.options.onIdle(this);
  }
}
