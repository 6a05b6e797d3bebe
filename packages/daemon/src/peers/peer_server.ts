import type {Logger, RequestPacer, Service} from '@bayspool/kernel';
import express, {type Express, type Request, type Response} from 'express';
import {HttpServer} from '../http_server.js';
import {peerHeaders} from './peer_headers.js';
import type {PeerMessageHandler} from './peer_message_handler.js';

interface Options {
  readonly endpoint: string;
  readonly pacer: RequestPacer;
  readonly messageHandler: PeerMessageHandler;
  readonly logger: Logger;
  /** Longer messages are refused without being read. */
  readonly maxMessageBytes: number;
}

const MAX_CONNECTIONS = 2_000;
const HEADERS_TIMEOUT_MS = 5_000;
const REQUEST_TIMEOUT_MS = 30_000;

/** HTTP server for calls from peers. A message without a peer's signature is refused and counted. */
export class PeerServer implements Service {
  readonly name = 'peer door';
  private readonly server: HttpServer;

  constructor(private readonly options: Options) {
    this.server = new HttpServer({
      listener: this.createApp(),
      pacer: options.pacer,
      endpoint: options.endpoint,
      setting: '[host] peer-address',
      maxConnections: MAX_CONNECTIONS,
      headersTimeoutMs: HEADERS_TIMEOUT_MS,
      requestTimeoutMs: REQUEST_TIMEOUT_MS,
    });
  }

  async start(): Promise<void> {
    const address = await this.server.start();
    this.options.logger.info('listening', {door: 'peer', address});
  }

  async stop(): Promise<void> {
    const stopped = this.server.stop();
    this.server.destroy();
    await stopped;
  }

  private createApp(): Express {
    const app = express();
    app.disable('x-powered-by');
    app.disable('etag');
    app.use(
      express.text({type: () => true, limit: this.options.maxMessageBytes}),
    );
    app.post('/rpc', (request, response) => this.answer(request, response));
    app.use(
      (
        error: Error,
        _request: Request,
        response: Response,
        next: () => void,
      ) => {
        if (response.headersSent) return next();
        this.options.messageHandler.countRefused('unreadable');
        response.status(400).end();
      },
    );
    return app;
  }

  private async answer(request: Request, response: Response): Promise<void> {
    const body = typeof request.body === 'string' ? request.body : '';
    const signature = String(request.headers[peerHeaders.signature] ?? '');
    const reply = await this.options.messageHandler.handle({body, signature});
    if (!reply) {
      response.status(401).end();
      return;
    }
    response
      .set(peerHeaders.signature, reply.signature)
      .type('json')
      .send(reply.body);
  }
}
