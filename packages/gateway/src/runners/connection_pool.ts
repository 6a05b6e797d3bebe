import {once} from 'node:events';
import type {Socket} from 'node:net';
import type {Clock} from '@bayspool/kernel';
import type {ConnectTimeout} from './connect_timeout.js';
import {ConnectFailure} from './connect_failure.js';
import type {Dialer} from './dialer.js';
import {openSocket} from './open_socket.js';
import {PooledConnection} from './pooled_connection.js';
import {TcpDialer} from './tcp_dialer.js';

interface Options {
  readonly clock: Clock;
  /** IP:PORT. */
  readonly address: string;
  /** Maximum number of connections from this host to the runner. */
  readonly maxConnections: () => number;
  /** Timeout of connects; shared by all pools of the host. */
  readonly connectTimeout: ConnectTimeout;
  readonly onOpened?: () => void;
  /** Called when bytes arrive that belong to no response. */
  readonly onExcessBytes?: () => void;
  /** Opens the connections; by TCP if absent. */
  readonly dialer?: Dialer;
}

/** Pool of this host's connections to one runner. */
export class ConnectionPool {
  private readonly idle: PooledConnection[] = [];
  private openCount = 0;
  private isClosed = false;
  private readonly dialer: Dialer;

  constructor(private readonly options: Options) {
    this.dialer = options.dialer ?? new TcpDialer();
  }

  /** Whether a connection is idle or can be opened now. */
  get hasCapacity(): boolean {
    return (
      this.idle.length > 0 || this.openCount < this.options.maxConnections()
    );
  }

  /** Returns an idle connection that may carry a request, or opens one; throws {@link ConnectFailure}. */
  async acquire(requestId: string): Promise<PooledConnection> {
    for (let i = this.idle.length - 1; i >= 0; i--) {
      const idle = this.idle[i];
      if (!idle.canCarry(requestId)) continue;
      this.idle.splice(i, 1);
      if (idle.isUsable) {
        idle.markInUse();
        return idle;
      }
      idle.discard();
    }
    await this.makeRoom();
    return this.openConnection();
  }

  /** Closes idle connections; those in use close when they become idle. */
  close(): void {
    this.isClosed = true;
    this.closeIdle();
  }

  /** Closes the connections that are idle now. */
  closeIdle(): void {
    for (const connection of this.idle.splice(0)) connection.discard();
  }

  /** Closes idle connections that have expired or can no longer be used. */
  closeExpired(): void {
    for (const connection of [...this.idle])
      if (!connection.isUsable) connection.discard();
  }

  /** Closes an idle connection if no further one may be open: none of them may carry the request. */
  private async makeRoom(): Promise<void> {
    const [oldest] = this.idle;
    if (!oldest || this.openCount < this.options.maxConnections()) return;
    const isClosed = once(oldest.socket, 'close');
    oldest.discard();
    await isClosed;
  }

  private async openConnection(): Promise<PooledConnection> {
    const {clock, address, maxConnections, connectTimeout} = this.options;
    const {onOpened, onExcessBytes} = this.options;
    if (this.openCount >= maxConnections())
      throw new ConnectFailure('saturated');
    this.openCount += 1;
    let socket: Socket;
    try {
      const {dialer} = this;
      socket = await openSocket({clock, dialer, address, connectTimeout});
    } catch (error) {
      this.openCount -= 1;
      throw error;
    }
    onOpened?.();
    const connection = new PooledConnection({
      clock,
      socket,
      onIdle: idle => this.addIdle(idle),
      onClose: closed => this.remove(closed),
      onExcessBytes,
    });
    return connection;
  }

  private addIdle(connection: PooledConnection): void {
    if (this.isClosed) connection.discard();
    else this.idle.push(connection);
  }

  private remove(connection: PooledConnection): void {
    this.openCount -= 1;
    const index = this.idle.indexOf(connection);
    if (index >= 0) this.idle.splice(index, 1);
  }
}
