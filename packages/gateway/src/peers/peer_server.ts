import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {BoundedBuffer, PacedServer} from '@bayspool/kernel';
import type {RequestPacer} from '@bayspool/kernel';
import {JSONRPCServer} from 'json-rpc-2.0';
import type {EventLog} from '../observability/event_log.js';
import type {RoomExchange} from '../host/room_exchange.js';
import type {RoomObservation} from '../runners/room_observation.js';
import type {SyncProtocol} from './sync_protocol.js';
import type {SyncRequest} from './sync_request.js';
import {closeServer} from '../lifecycle/close_server.js';
import {listenOn} from '../lifecycle/listen_on.js';

interface Options {
  readonly pacer: RequestPacer;
  readonly ip: string;
  readonly port: number;
  readonly protocol: SyncProtocol;
  readonly rooms: RoomExchange;
  readonly log: EventLog;
}

/** How long idle peer connections are kept open, in ms: longer than any pause between two calls of a peer. */
const KEEP_ALIVE_MS = 30_000;
/** Maximum size of a request body, in bytes; the digests that peers send are a few kB. */
const MAX_BODY_BYTES = 4_194_304;

/** Serves calls from other hosts: JSON-RPC 2.0 in the body of a POST. */
export class PeerServer {
  private readonly rpc = new JSONRPCServer();
  private readonly server: Server;

  constructor(private readonly options: Options) {
    this.rpc.addMethod('sync', params =>
      options.protocol.answerRequest(params as SyncRequest),
    );
    this.rpc.addMethod('rooms', params =>
      options.rooms.applyPeerObservations(params as readonly RoomObservation[]),
    );
    const {pacer, log} = options;
    this.server = new PacedServer({
      pacer,
      listener: (request, response) => {
        this.handle(request, response).catch(error => {
          log.write('unexpected', {
            where: 'peer request',
            message: String(error),
          });
          response.destroy();
        });
      },
    }).server;
    this.server.keepAliveTimeout = KEEP_ALIVE_MS;
  }

  /** Starts listening for calls from other hosts. */
  start(): Promise<void> {
    const {ip, port} = this.options;
    return listenOn(this.server, ip, port);
  }

  /** Closes all connections at once. */
  stop(): void {
    closeServer(this.server);
  }

  private async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const body = await readBody(request);
    const reply = await this.rpc.receiveJSON(body.toString());
    const text = JSON.stringify(reply ?? {});
    response.writeHead(200, {'content-type': 'application/json'});
    response.end(text);
  }
}

/** Reads the body of a request; rejects if it is too large or is cut off. */
function readBody(request: IncomingMessage): Promise<Buffer> {
  const buffer = new BoundedBuffer({maxBytes: MAX_BODY_BYTES});
  return new Promise((resolve, reject) => {
    // Not iterated over: an iteration takes a promise for each chunk, and reads on meanwhile.
    request.on('data', (chunk: Buffer) => {
      try {
        buffer.append(chunk);
      } catch (error) {
        request.destroy(error as Error);
      }
    });
    request.once('error', reject);
    request.once('end', () => resolve(buffer.take()));
  });
}
