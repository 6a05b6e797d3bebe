import {createServer, ServerResponse} from 'node:http';
import type {
  IncomingMessage,
  RequestListener,
  Server,
  ServerOptions,
} from 'node:http';
import type {Socket} from 'node:net';
import {PacedConnection} from './paced_connection.js';
import type {RequestPacer} from './request_pacer.js';

interface Options {
  /** Shared by all servers of the process. */
  readonly pacer: RequestPacer;
  readonly listener: RequestListener;
  /** Largest number of open requests of a connection; further ones are read once responses have been taken. */
  readonly maxOpenPerConnection?: number;
  /** Whether requests behind the end of the responses are read, too; false if absent. */
  readonly readsBehindEnd?: boolean;
  readonly server?: Omit<ServerOptions, 'ServerResponse'>;
}

/** Node's own limit on the size of a head, in bytes. */
const DEFAULT_MAX_HEAD_BYTES = 16_384;
const OVERSIZED = 'HPE_HEADER_OVERFLOW';
const OVERSIZED_RESPONSE =
  'HTTP/1.1 431 Request Header Fields Too Large\r\nconnection: close\r\ncontent-length: 0\r\n\r\n';

/**
 * An HTTP server that reads no more from its clients than it can hold: see {@link RequestPacer}. Header lines are
 * bounded by their size, never by their number, so that none is left out.
 */
export class PacedServer {
  readonly server: Server;
  private readonly connections = new WeakMap<Socket, PacedConnection>();
  private readonly headerSizes = new WeakMap<IncomingMessage, number>();

  constructor(private readonly options: Options) {
    const {listener, server} = options;
    this.server = createServer(
      {...server, ServerResponse: this.createResponseClass()},
      listener,
    );
    this.server.maxHeadersCount = 0;
    this.server.on('connection', (socket: Socket) => this.pace(socket));
  }

  /** Bytes that were read from a connection and not parsed. */
  unparsedBytesOf(socket: Socket): number {
    return this.connections.get(socket)?.unparsedBytes ?? 0;
  }

  /** Size of the header lines of a request as they were sent, in bytes; undefined if it is not of this server. */
  headerBytesOf(request: IncomingMessage): number | undefined {
    return this.headerSizes.get(request);
  }

  /** Node creates a response for each request that it has parsed, also for those that it answers by itself. */
  private createResponseClass(): typeof ServerResponse {
    const {connections} = this;
    return class<
      R extends IncomingMessage = IncomingMessage,
    > extends ServerResponse<R> {
      constructor(...args: ConstructorParameters<typeof ServerResponse<R>>) {
        super(...args);
        const [request] = args;
        connections.get(request.socket)?.add(request, this);
      }
    };
  }

  /** Puts itself between a connection and its HTTP parser, which listens to it first. */
  private pace(socket: Socket): void {
    const {pacer, maxOpenPerConnection = 1, server} = this.options;
    const {readsBehindEnd = false} = this.options;
    const [parse] = socket.listeners('data') as Array<(bytes: Buffer) => void>;
    const connection = new PacedConnection({
      socket,
      pacer,
      parse,
      maxOpen: maxOpenPerConnection,
      readsBehindEnd,
      maxHeadBytes: server?.maxHeaderSize ?? DEFAULT_MAX_HEAD_BYTES,
      onHead: (request, bytes) => this.headerSizes.set(request, bytes),
      onOversized: () => this.refuseOversized(socket),
    });
    this.connections.set(socket, connection);
    socket.removeListener('data', parse);
    socket.on('data', (chunk: Buffer) => connection.receive(chunk));
  }

  private refuseOversized(socket: Socket): void {
    const error = Object.assign(new Error('head too large'), {code: OVERSIZED});
    if (this.server.emit('clientError', error, socket)) return;
    socket.end(OVERSIZED_RESPONSE);
  }
}
