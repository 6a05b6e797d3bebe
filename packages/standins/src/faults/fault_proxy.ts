import {
  connect,
  createServer,
  type AddressInfo,
  type Server,
  type Socket,
} from 'node:net';
import {FaultMode} from './fault_mode.js';

interface Options {
  /** Where connections go on to, as `127.0.0.1:9000`. */
  readonly target: string;
  /** Where to listen, as `127.0.1.1:9100`; port 0 takes a free one. */
  readonly listen?: string;
}

interface Pair {
  readonly near: Socket;
  readonly far: Socket;
  /** The IP number that the connection came from. */
  readonly source: string;
}

/** Which connections a fault is for, by the IP number that they come from. */
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
      if (!this.concerns(pair.source)) continue;
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
    const source = near.remoteAddress ?? '';
    near.on('error', () => near.destroy());
    const mode = this.modeFor(source);
    if (mode === FaultMode.CUT || mode === FaultMode.REFUSE) {
      near.destroy();
      return;
    }
    const [host, port] = split(this.options.target);
    const far = connect(port, host);
    const pair = {near, far, source};
    this.pairs.add(pair);
    far.on('error', () => this.close(near));
    near.on('close', () => {
      this.close(far);
      this.pairs.delete(pair);
    });
    far.on('close', () => this.close(near));
    near.on('data', data =>
      this.forward(data, far, source, FaultMode.DROP_REQUESTS),
    );
    far.on('data', data =>
      this.forward(data, near, source, FaultMode.DROP_REPLIES),
    );
    near.resume();
  }

  private forward(
    data: Buffer,
    to: Socket,
    source: string,
    dropped: FaultMode,
  ): void {
    const mode = this.modeFor(source);
    this.bytes += data.length;
    if (mode === FaultMode.HOLD || mode === dropped) return;
    if (this.delayMs === 0) {
      to.write(data);
      return;
    }
    setTimeout(() => !to.destroyed && to.write(data), this.delayMs);
  }

  /** Closes one side behind what is still on its way to it. */
  private close(side: Socket): void {
    if (this.delayMs === 0) side.destroy();
    else setTimeout(() => side.destroySoon(), this.delayMs);
  }

  private modeFor(source: string): FaultMode {
    return this.concerns(source) ? this.mode : FaultMode.PASS;
  }
}

function split(endpoint: string): [string, number] {
  const separator = endpoint.lastIndexOf(':');
  return [endpoint.slice(0, separator), Number(endpoint.slice(separator + 1))];
}
