import {createServer, Socket, type AddressInfo, type Server} from 'node:net';
import {FaultMode} from './fault_mode.js';

interface Options {
  /** Where connections go on to, as `127.0.0.1:9000`. */
  readonly target: string;
  /** Where to listen, as `127.0.1.1:9100`; port 0 takes a free one. */
  readonly listen?: string;
  /** Names the source of a connection; by its IP number if absent. */
  readonly identify?: (near: Socket) => string;
}

interface Pair {
  readonly near: Socket;
  readonly far: Socket;
  /** Where the connection came from, as `identify` names it; looked up when a fault needs it. */
  source?: string;
}

/** Which connections a fault is for, by their source. */
type SourceFilter = (source: string) => boolean;

const LISTEN_ANY = '127.0.0.1:0';

/** A small TCP proxy on the loopback that puts faults between two processes. */
export class FaultProxy {
  private readonly server: Server;
  private readonly pairs = new Set<Pair>();
  /** Bytes that came in from either side so far. */
  bytes = 0;
  private mode: FaultMode = FaultMode.PASS;
  private delayMs = 0;
  private concerns: SourceFilter = () => true;

  constructor(private readonly options: Options) {
    this.server = createServer({pauseOnConnect: true}, near =>
      this.accept(near),
    );
  }

  /** Starts to listen and gives the address. */
  async start(): Promise<string> {
    const [host, port] = split(this.options.listen ?? LISTEN_ANY);
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
    return `${host}:${(this.server.address() as AddressInfo).port}`;
  }

  /** Changes the fault; cutting also ends the open connections that it is for. */
  set(
    mode: FaultMode,
    options: {delayMs?: number; from?: SourceFilter} = {},
  ): void {
    this.mode = mode;
    this.delayMs = options.delayMs ?? 0;
    this.concerns = options.from ?? (() => true);
    if (mode === FaultMode.CUT) this.cutOpen();
  }

  /** Ends the open connections that the present fault is for. */
  cutOpen(): void {
    for (const pair of this.pairs) {
      if (!this.isConcerned(pair)) continue;
      pair.near.destroy();
      pair.far.destroy();
      this.pairs.delete(pair);
    }
  }

  async stop(): Promise<void> {
    this.concerns = () => true;
    this.cutOpen();
    await new Promise(resolve => this.server.close(resolve));
  }

  private accept(near: Socket): void {
    near.on('error', () => near.destroy());
    const [host, port] = split(this.options.target);
    const far = new Socket();
    const pair: Pair = {near, far};
    const mode = this.modeFor(pair);
    if (mode === FaultMode.CUT || mode === FaultMode.REFUSE) {
      near.destroy();
      return;
    }
    far.connect(port, host);
    this.pairs.add(pair);
    far.on('error', () => near.destroy());
    near.on('close', () => {
      far.destroy();
      this.pairs.delete(pair);
    });
    far.on('close', () => near.destroy());
    near.on('data', data =>
      this.forward(data, far, pair, FaultMode.DROP_REQUESTS),
    );
    far.on('data', data =>
      this.forward(data, near, pair, FaultMode.DROP_REPLIES),
    );
    near.resume();
  }

  private forward(
    data: Buffer,
    to: Socket,
    pair: Pair,
    dropped: FaultMode,
  ): void {
    const mode = this.modeFor(pair);
    this.bytes += data.length;
    if (mode === FaultMode.HOLD || mode === dropped) return;
    if (this.delayMs === 0) {
      to.write(data);
      return;
    }
    setTimeout(() => !to.destroyed && to.write(data), this.delayMs);
  }

  private modeFor(pair: Pair): FaultMode {
    if (this.mode === FaultMode.PASS) return this.mode;
    return this.isConcerned(pair) ? this.mode : FaultMode.PASS;
  }

  private isConcerned(pair: Pair): boolean {
    const {identify = getRemoteAddress} = this.options;
    pair.source ??= identify(pair.near);
    return this.concerns(pair.source);
  }
}

function getRemoteAddress({remoteAddress}: Socket): string {
  return remoteAddress ?? '';
}

function split(endpoint: string): [string, number] {
  const separator = endpoint.lastIndexOf(':');
  return [endpoint.slice(0, separator), Number(endpoint.slice(separator + 1))];
}
