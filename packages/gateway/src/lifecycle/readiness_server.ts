import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {PacedServer} from '@bayspool/kernel';
import type {RequestPacer} from '@bayspool/kernel';
import {closeServer} from './close_server.js';
import {hasBody} from './has_body.js';
import {listenOn} from './listen_on.js';

interface Options {
  readonly pacer: RequestPacer;
  readonly ip: string;
  readonly port: number;
  readonly path: string;
  readonly isReady: () => boolean;
}

/** Readiness endpoint that tells the load balancer whether this host accepts new connections. */
export class ReadinessServer {
  private readonly server: Server;

  constructor(private readonly options: Options) {
    const {pacer} = options;
    this.server = new PacedServer({
      pacer,
      listener: (request, response) => this.respond(request, response),
    }).server;
  }

  private respond(request: IncomingMessage, response: ServerResponse): void {
    const {path, isReady} = this.options;
    // A body is of no use; without this it would be read to its end.
    if (hasBody(request)) response.shouldKeepAlive = false;
    const isKnown = request.url === path;
    const status = !isKnown ? 404 : isReady() ? 200 : 503;
    response.writeHead(status, {'content-length': 0});
    response.end();
  }

  /** Starts to listen. */
  start(): Promise<void> {
    const {ip, port} = this.options;
    return listenOn(this.server, ip, port);
  }

  /** Stops listening and closes all connections immediately. */
  stop(): void {
    closeServer(this.server);
  }
}
