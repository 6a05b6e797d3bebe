import {createServer} from 'node:net';
import type {AddressInfo, Server, Socket} from 'node:net';
import type {RunnerEntry} from '@bayspool/decisions/calls';

interface Options {
  readonly id: string;
  /** Bytes of the response to any request, before the part that is repeated; given the request's id. */
  readonly head: string;
  /** Written again and again until the connection is closed. */
  readonly repeated: string;
  /** Time between two writes, in ms; as fast as the connection takes them if absent. */
  readonly intervalMs?: number;
}

/** A runner that writes bytes without end on each connection that carries a request. */
export class RawRunner {
  /** Number of connections that carried a request. */
  requests = 0;
  /** Bytes written on the connection that took the most. */
  mostBytes = 0;
  private readonly open = new Set<Socket>();
  private readonly server: Server;

  constructor(private readonly options: Options) {
    this.server = createServer(socket => this.accept(socket));
  }

  /** Number of connections that are not closed. */
  get openCount(): number {
    return this.open.size;
  }

  get entry(): RunnerEntry {
    const {port} = this.server.address() as AddressInfo;
    return {
      id: this.options.id,
      service: 'svc',
      version: 'v1',
      place: 'a',
      address: `127.0.0.1:${port}`,
      slots: 8,
      isDraining: false,
    };
  }

  start(): Promise<void> {
    return new Promise(resolve => {
      this.server.listen(0, '127.0.0.1', () => resolve());
    });
  }

  stop(): void {
    this.server.close();
    for (const socket of this.open) socket.destroy();
  }

  private accept(socket: Socket): void {
    this.open.add(socket);
    socket.on('error', () => undefined);
    socket.once('close', () => {
      this.open.delete(socket);
      this.mostBytes = Math.max(this.mostBytes, socket.bytesWritten);
    });
    socket.once('data', () => {
      this.requests += 1;
      const {head, intervalMs = 0} = this.options;
      socket.write(head, 'latin1');
      if (intervalMs > 0) setTimeout(() => this.writeOn(socket), intervalMs);
      else this.writeOn(socket);
    });
  }

  private writeOn(socket: Socket): void {
    const {repeated, intervalMs} = this.options;
    if (socket.destroyed) return;
    const hasRoom = socket.write(repeated, 'latin1');
    const next = () => this.writeOn(socket);
    if (intervalMs !== undefined) setTimeout(next, intervalMs);
    else if (hasRoom) setImmediate(next);
    else socket.once('drain', next);
  }
}
