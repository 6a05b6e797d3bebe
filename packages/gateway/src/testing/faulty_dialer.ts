import {connect, createServer, Socket} from 'node:net';
import type {AddressInfo, Server} from 'node:net';
import type {Dialer} from '../runners/dialer.js';
import {LinkFault} from './link_fault.js';

interface Link {
  readonly near: Socket;
  readonly far: Socket;
}

/** A port on which nothing listens. */
const CLOSED_PORT = 1;

/** Opens connections to runners through a proxy on the loopback, and puts a fault on all of them. */
export class FaultyDialer implements Dialer {
  private fault: LinkFault = LinkFault.NONE;
  /** Whether the fault is on the way to a runner, by its address. */
  private concerns: (address: string) => boolean = () => true;
  private readonly proxies = new Map<string, Promise<Server>>();
  private readonly links = new Map<Link, string>();
  private isStopped = false;

  dial(address: string): Socket {
    const fault = this.faultAt(address);
    const isRefused = fault === LinkFault.RESET || fault === LinkFault.REFUSED;
    // A proxy that is started now would not be stopped any more.
    if (isRefused || this.isStopped)
      return connect({host: '127.0.0.1', port: CLOSED_PORT});
    const socket = new Socket();
    // A connect that gets no reply: the socket never connects.
    if (fault === LinkFault.HUNG) return socket;
    void this.startProxy(address).then(proxy => {
      if (socket.destroyed) return;
      const {port} = (proxy.address() as AddressInfo | null) ?? {
        port: CLOSED_PORT,
      };
      socket.connect({host: '127.0.0.1', port});
    });
    return socket;
  }

  /** Puts a fault on the connections to these runners, by address; to all runners if none are named. */
  setFault(fault: LinkFault, addresses?: readonly string[]): void {
    const wasLost = this.isLossy(this.fault);
    this.fault = fault;
    this.concerns = address => addresses?.includes(address) ?? true;
    const endsOpen =
      fault === LinkFault.RESET ||
      fault === LinkFault.CLOSED ||
      (fault === LinkFault.NONE && wasLost);
    if (endsOpen) this.closeOpen();
  }

  async stop(): Promise<void> {
    this.isStopped = true;
    this.concerns = () => true;
    this.closeOpen();
    for (const proxy of this.proxies.values()) (await proxy).close();
  }

  /** Whether bytes were lost on open connections, so that these are of no more use. */
  private isLossy(fault: LinkFault): boolean {
    return fault === LinkFault.HUNG || fault === LinkFault.SILENT;
  }

  private faultAt(address: string): LinkFault {
    return this.concerns(address) ? this.fault : LinkFault.NONE;
  }

  private closeOpen(): void {
    for (const [{near, far}, address] of this.links) {
      if (!this.concerns(address)) continue;
      near.destroy();
      far.destroy();
    }
  }

  private startProxy(address: string): Promise<Server> {
    const known = this.proxies.get(address);
    if (known) return known;
    const server = createServer({noDelay: true}, near =>
      this.accept(near, address),
    );
    const started = new Promise<Server>(resolve => {
      server.listen(0, '127.0.0.1', () => resolve(server));
    });
    this.proxies.set(address, started);
    return started;
  }

  private accept(near: Socket, address: string): void {
    near.on('error', () => near.destroy());
    if (this.faultAt(address) === LinkFault.CLOSED) return void near.destroy();
    const [host, port] = address.split(':');
    const far = connect({host, port: Number(port), noDelay: true});
    const link = {near, far};
    this.links.set(link, address);
    far.on('error', () => near.destroy());
    near.on('close', () => {
      far.destroy();
      this.links.delete(link);
    });
    far.on('close', () => near.destroy());
    near.on('data', data => this.pass(data, far, address));
    far.on('data', data => this.pass(data, near, address));
  }

  private pass(data: Buffer, to: Socket, address: string): void {
    if (this.isLossy(this.faultAt(address)) || to.destroyed) return;
    to.write(data);
  }
}
