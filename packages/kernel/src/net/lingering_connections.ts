import type {Socket} from 'node:net';
import type {Clock} from '../clock/clock.js';
import {sleep} from '../clock/sleep.js';
import {readReceived} from './read_received.js';

interface Options {
  readonly clock: Clock;
}

/** Time without a byte from the caller after which a connection is closed that its caller has not closed, in ms. */
const QUIET_MS = 1_000;
/** Longest time for which a connection is read on, in ms. */
const MAX_LINGER_MS = 5_000;
/** Largest number of connections that are read on; above it the oldest one is closed. */
const MAX_CONNECTIONS = 256;

/**
 * Connections that close behind their last response. They are ended for writing and read on until their callers close
 * them, for a bounded time: the kernel resets a connection that is closed with unread bytes, and drops what it has
 * still to send.
 */
export class LingeringConnections {
  private readonly sockets = new Set<Socket>();
  private expired = 0;

  constructor(private readonly options: Options) {}

  /** Number of connections that are being read on. */
  get size(): number {
    return this.sockets.size;
  }

  /** Number of connections that were closed because their callers had not closed them in time. */
  get expiredCount(): number {
    return this.expired;
  }

  has(socket: Socket): boolean {
    return this.sockets.has(socket);
  }

  /** Ends a connection for writing, and closes it once its caller has or the time is up. */
  add(socket: Socket): void {
    if (socket.destroyed || this.sockets.has(socket)) return;
    const [oldest] = this.sockets;
    if (this.sockets.size >= MAX_CONNECTIONS) this.expire(oldest);
    this.sockets.add(socket);
    const closed = new AbortController();
    socket.once('close', () => {
      this.sockets.delete(socket);
      closed.abort();
    });
    socket.end();
    socket.resume();
    void this.closeOnceQuiet(socket, closed.signal);
  }

  private async closeOnceQuiet(
    socket: Socket,
    signal: AbortSignal,
  ): Promise<void> {
    const {clock} = this.options;
    const until = clock.now() + MAX_LINGER_MS;
    let bytesRead: number;
    do {
      ({bytesRead} = socket);
      await sleep(clock, QUIET_MS, signal);
      await readReceived();
      if (signal.aborted) return;
    } while (socket.bytesRead > bytesRead && clock.now() < until);
    this.expire(socket);
  }

  private expire(socket: Socket): void {
    this.expired += 1;
    this.sockets.delete(socket);
    socket.destroy();
  }
}
