import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {PacedServer} from '@bayspool/kernel';
import type {Clock, RequestPacer} from '@bayspool/kernel';
import type {Registry} from 'prom-client';
import {closeServer} from './close_server.js';
import {hasBody} from './has_body.js';
import {listenOn} from './listen_on.js';

interface Options {
  readonly clock: Clock;
  readonly pacer: RequestPacer;
  readonly ip: string;
  readonly port: number;
  readonly path: string;
  readonly registry: Registry;
}

/** Longest time for which rendered metrics are served again, in ms. */
const MAX_AGE_MS = 200;

/** Serves the metrics in the Prometheus text format. */
export class MetricsServer {
  private readonly server: Server;
  private rendered: Promise<Buffer> | undefined;
  private renderedAt = -Infinity;

  constructor(private readonly options: Options) {
    const {pacer} = options;
    this.server = new PacedServer({
      pacer,
      listener: (request, response) => void this.respond(request, response),
    }).server;
  }

  private async respond(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const {path, registry} = this.options;
    // A body is of no use; without this it would be read to its end.
    if (hasBody(request)) response.shouldKeepAlive = false;
    if (request.url !== path) {
      response.writeHead(404, {'content-length': 0}).end();
      return;
    }
    const body = await this.render();
    response.writeHead(200, {'content-type': registry.contentType});
    response.end(body);
  }

  /** Renders the metrics, or returns what was rendered a moment ago: clients that ask without end share it. */
  private render(): Promise<Buffer> {
    const {clock, registry} = this.options;
    const now = clock.now();
    if (this.rendered && now - this.renderedAt < MAX_AGE_MS)
      return this.rendered;
    this.renderedAt = now;
    this.rendered = registry.metrics().then(text => Buffer.from(text));
    return this.rendered;
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
