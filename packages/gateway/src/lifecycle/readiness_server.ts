import {createServer} from 'node:http';
import type {Server} from 'node:http';
import {closeServer} from './close_server.js';
import {listenOn} from './listen_on.js';

interface Options {
  readonly ip: string;
  readonly port: number;
  readonly path: string;
  readonly isReady: () => boolean;
}

/** Tells the balancer whether this host takes new connections. */
export class ReadinessServer {
  private readonly server: Server;

  constructor(private readonly options: Options) {
    this.server = createServer((request, response) => {
      const isKnown = request.url === options.path;
      const status = !isKnown ? 404 : options.isReady() ? 200 : 503;
      response.writeHead(status, {'content-length': 0});
      response.end();
    });
  }

  /** Listens. */
  start(): Promise<void> {
    const {ip, port} = this.options;
    return listenOn(this.server, ip, port);
  }

  /** Closes all connections at once. */
  stop(): void {
    closeServer(this.server);
  }
}
