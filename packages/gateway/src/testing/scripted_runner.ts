import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import type {RunnerEntry} from '@bayspool/decisions/calls';
import {plainHeaderNames as names} from './plain_header_names.js';

/** Responds to one request, whose body has been read. */
type Script = (request: ReceivedRequest, response: ServerResponse) => void;

interface ReceivedRequest {
  readonly id: string;
  readonly method: string;
  readonly path: string;
  readonly headers: IncomingMessage['headers'];
  readonly body: string;
  readonly socket: Socket;
}

interface Options {
  readonly id: string;
  readonly service?: string;
  readonly version?: string;
  readonly place?: string;
  readonly script?: Script;
  /** When the runner was started, in ms since the epoch; its entry doesn't tell if absent. */
  readonly bornAt?: number;
}

/** Path of health checks, which are answered without the script. */
const HEALTH_PATH = '/';

/** A runner whose responses a test scripts. */
export class ScriptedRunner {
  /** All requests received, in order. */
  readonly received: ReceivedRequest[] = [];
  /** Number of connections opened to the runner. */
  connections = 0;
  /** Ids of requests whose connection closed before the response ended. */
  readonly abortedIds: string[] = [];
  script: Script;
  private isFrozen = false;
  private readonly server: Server;
  private readonly sockets = new Set<Socket>();

  constructor(private readonly options: Options) {
    this.script = options.script ?? sendCompleteResponse;
    this.server = createServer((request, response) => {
      void this.handle(request, response);
    });
    this.server.keepAliveTimeout = 10_000;
    this.server.on('connection', (socket: Socket) => {
      this.connections += 1;
      this.sockets.add(socket);
      socket.once('close', () => this.sockets.delete(socket));
    });
  }

  get address(): string {
    const {port} = this.server.address() as AddressInfo;
    return `127.0.0.1:${port}`;
  }

  get entry(): RunnerEntry {
    const {id, service = 'svc', version = 'v1', place = 'a'} = this.options;
    return {
      id,
      bornAt: this.options.bornAt,
      service,
      version,
      place,
      address: this.address,
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
    this.server.closeAllConnections();
    for (const socket of this.sockets) socket.destroy();
  }

  /** Ends as if its machine was lost: nothing more is sent on open connections, and new ones are refused. */
  endSilently(): void {
    this.server.close();
    this.freeze();
  }

  /** Stops reading and answering; the system still accepts connections. */
  freeze(): void {
    this.isFrozen = true;
    for (const socket of this.sockets) socket.pause();
  }

  /** Answers all requests from now on. */
  thaw(): void {
    this.isFrozen = false;
    for (const socket of this.sockets) socket.resume();
  }

  private async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    if (this.isFrozen) return;
    if (request.url === HEALTH_PATH) return void response.end();
    const chunks: Buffer[] = [];
    for await (const chunk of request as AsyncIterable<Buffer>)
      chunks.push(chunk);
    const id = String(request.headers[names.requestId]);
    response.on('close', () => {
      if (!response.writableFinished) this.abortedIds.push(id);
    });
    const received = {
      id,
      method: request.method ?? '',
      path: request.url ?? '',
      headers: request.headers,
      body: Buffer.concat(chunks).toString(),
      socket: request.socket,
    };
    this.received.push(received);
    response.sendDate = false;
    this.script(received, response);
  }
}

function sendCompleteResponse(
  {id}: ReceivedRequest,
  response: ServerResponse,
): void {
  const body = 'whole body';
  response.writeHead(200, {
    [names.requestId]: id,
    [names.signature]: 'signed',
    'content-length': body.length,
  });
  response.end(body);
}
