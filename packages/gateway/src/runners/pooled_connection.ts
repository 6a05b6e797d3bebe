import type {Clock} from '@bayspool/kernel';
import type {Socket} from 'node:net';

interface Options {
  readonly clock: Clock;
  readonly socket: Socket;
  readonly onIdle: (connection: PooledConnection) => void;
  readonly onClose: (connection: PooledConnection) => void;
}

/** How long a connection may rest when the runner did not say, in ms. */
const DEFAULT_IDLE_TIMEOUT_MS = 4_000;
/** Taken off the announced time, so that no request crosses the runner's close, in ms. */
const IDLE_TIMEOUT_MARGIN_MS = 700;

/** A connection to a runner that carries one request at a time. */
export class PooledConnection {
  readonly socket: Socket;
  private idleTimeoutMs = DEFAULT_IDLE_TIMEOUT_MS;
  private expiresAt = Infinity;
  private failed = false;
  private readonly discardOnData = () => this.discard();

  constructor(private readonly options: Options) {
    const {socket, onClose} = options;
    this.socket = socket;
    socket.on('free', () => this.markIdle());
    socket.once('close', () => onClose(this));
    // Errors surface at the request that uses the socket; a resting one just closes.
    socket.on('error', () => {
      this.failed = true;
    });
  }

  /** Whether a request may be sent on it now. */
  get isUsable(): boolean {
    return (
      !this.socket.destroyed &&
      this.socket.writable &&
      this.options.clock.now() < this.expiresAt
    );
  }

  /** Whether it was reset or failed otherwise, rather than closed in good order. */
  get hasFailed(): boolean {
    return this.failed;
  }

  /** Takes the connection for a request. */
  markInUse(): void {
    this.socket.off('data', this.discardOnData);
    this.expiresAt = Infinity;
  }

  /** @param seconds what the runner says of how long it keeps a resting connection */
  noteKeepAlive(seconds: number): void {
    this.idleTimeoutMs = Math.max(0, seconds * 1_000 - IDLE_TIMEOUT_MARGIN_MS);
  }

  /** Puts it back without having sent anything. */
  release(): void {
    this.markIdle();
  }

  /** Closes it at once; it carries no other request. */
  discard(): void {
    this.socket.destroy();
  }

  private markIdle(): void {
    this.expiresAt = this.options.clock.now() + this.idleTimeoutMs;
    // Bytes that no request asked for belong to no answer: the connection is spoiled.
    this.socket.on('data', this.discardOnData);
    this.options.onIdle(this);
  }
}
