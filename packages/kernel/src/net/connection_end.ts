import type {Socket} from 'node:net';

const NO_BYTES = Buffer.alloc(0);

/**
 * How the peer of a connection ended it. Node reports a reset that it reads together with bytes as an
 * ordinary end, without an error.
 */
export class ConnectionEnd {
  private orderly = false;

  constructor(private readonly socket: Socket) {
    // Prepended, because the HTTP client ends the socket in its own listener, after which no write is possible.
    socket.prependOnceListener('end', () => {
      this.orderly = this.canWrite();
    });
  }

  /** Whether the peer closed the connection in the ordinary way; false if it was reset, or has not ended. */
  get wasOrderly(): boolean {
    return this.orderly;
  }

  /** Writes no bytes: this sends nothing, and fails at once if the connection was reset. */
  private canWrite(): boolean {
    const {socket} = this;
    socket.write(NO_BYTES);
    // Bytes that still wait to be sent hold up the write, so that it tells nothing.
    return !socket.errored && socket.writableLength === 0;
  }
}
