import type {RequestListener, Server} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {
  PacedServer,
  Problem,
  ProblemKind,
  RequestPacer,
  ServerConnections,
  SystemClock,
} from '@bayspool/kernel';
import type {Clock} from '@bayspool/kernel';

interface Options {
  /** The clock of this process if absent. */
  readonly clock?: Clock;
  readonly listener: RequestListener;
  /** Shared by all servers of the process; a pacer of its own if absent. */
  readonly pacer?: RequestPacer;
  /** Such as `127.0.0.1:8080`. */
  readonly endpoint: string;
  /** Name of the setting that holds the endpoint, for error messages. */
  readonly setting: string;
  readonly maxConnections: number;
  /** Time limits for receiving the headers and the whole request, in ms. */
  readonly headersTimeoutMs: number;
  readonly requestTimeoutMs: number;
  readonly maxHeaderBytes?: number;
}

const KEEP_ALIVE_MS = 30_000;
/** Largest number of open requests of a connection; those that a client sends ahead beyond it wait unread. */
const MAX_OPEN_PER_CONNECTION = 16;
/** Interval between two checks for idle connections while the server stops, in ms. */
const IDLE_CHECK_INTERVAL_MS = 50;
/** Longest time for which a server that stops accepts the connections that wait for it, in ms. */
const MAX_BACKLOG_MS = 2_000;

/** An HTTP server with limits on header size, slow senders, idle time and connections. */
export class HttpServer {
  private readonly server: Server;
  private readonly connections: ServerConnections;
  private readonly clock: Clock;
  private isStopping = false;

  constructor(private readonly options: Options) {
    const {clock = new SystemClock()} = options;
    this.clock = clock;
    const paced = new PacedServer({
      pacer: options.pacer ?? new RequestPacer(),
      maxOpenPerConnection: MAX_OPEN_PER_CONNECTION,
      listener: options.listener,
      server: {
        headersTimeout: options.headersTimeoutMs,
        requestTimeout: options.requestTimeoutMs,
        keepAliveTimeout: KEEP_ALIVE_MS,
        maxHeaderSize: options.maxHeaderBytes,
        connectionsCheckingInterval: Math.min(1_000, options.headersTimeoutMs),
      },
    });
    this.server = paced.server;
    this.server.maxConnections = options.maxConnections;
    this.connections = new ServerConnections({
      clock,
      server: this.server,
      unparsedBytesOf: socket => paced.unparsedBytesOf(socket),
    });
    this.server.prependListener('request', (_request, response) => {
      // Callers that come again and again would keep a server that stops from ending.
      if (this.isStopping) response.setHeader('connection', 'close');
    });
  }

  /** Sets the handler for requests that could not be parsed. */
  onBadRequest(
    handle: (
      error: NodeJS.ErrnoException,
      write: (text: string) => void,
    ) => void,
  ): void {
    this.server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
      // Bytes behind the response that closes a connection are no requests.
      if (!socket.writable) return;
      if (error.code === 'ECONNRESET') {
        socket.destroy();
        return;
      }
      handle(error, text => {
        socket.end(text);
        this.connections.closeBehindResponse(socket as Socket);
      });
    });
  }

  /** Starts to listen and resolves to the actual endpoint. */
  start(): Promise<string> {
    const {endpoint, setting} = this.options;
    const separator = endpoint.lastIndexOf(':');
    const host = endpoint.slice(0, separator).replace(/^\[|\]$/g, '');
    return new Promise((resolve, reject) => {
      this.server.once('error', error =>
        reject(createListenProblem(setting, endpoint, error)),
      );
      this.server.listen(Number(endpoint.slice(separator + 1)), host, () => {
        const {port} = this.server.address() as AddressInfo;
        resolve(`${endpoint.slice(0, separator)}:${port}`);
      });
    });
  }

  /**
   * Accepts no new connections but those that the kernel has established, closes those that are or become idle once
   * they are quiet, and resolves when the last one has ended.
   */
  async stop(): Promise<void> {
    const {clock, connections} = this;
    this.isStopping = true;
    const until = clock.now() + MAX_BACKLOG_MS;
    await connections.acceptBacklog(() => until);
    const closed = new Promise<void>(resolve =>
      connections.stopListening(resolve),
    );
    const timer = setInterval(
      () => void connections.closeQuiet(),
      IDLE_CHECK_INTERVAL_MS,
    );
    await connections.closeQuiet();
    await closed;
    clearInterval(timer);
  }

  /** Closes all open connections. */
  destroy(): void {
    this.server.closeAllConnections();
  }
}

function createListenProblem(
  setting: string,
  endpoint: string,
  cause: Error,
): Problem {
  return new Problem({
    kind: ProblemKind.SETTINGS,
    what: `cannot listen on ${endpoint}: ${cause.message}`,
    remedy: `name a free address of this host at ${setting}, or stop the program that uses it`,
    cause,
  });
}
