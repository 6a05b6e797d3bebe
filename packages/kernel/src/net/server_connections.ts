import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {Server as NetServer} from 'node:net';
import type {Socket} from 'node:net';
import type {Clock} from '../clock/clock.js';
import {finishTurn} from './finish_turn.js';

/** How a connection is used. */
interface ConnectionUse {
  /** Number of responses that have not left this process completely. */
  openResponses: number;
  /** The response to the last request that was read; absent if the connection has carried none. */
  lastResponse?: ServerResponse;
  /** Bytes read from the connection when its last request was whole; more mean that a request is being read. */
  bytesReadAtRest: number;
  /** The last request, while its body has not arrived completely. */
  incompleteRequest?: IncomingMessage;
}

/** Turns of the event loop without a new connection after which none waits to be accepted. */
const QUIET_TURNS = 2;

/**
 * Closes the idle connections of an HTTP server. To Node.js itself a connection is idle once its response was ended,
 * also while a part of it waits for a slow reader; here it is idle once the response has left this process.
 */
export class ServerConnections {
  private readonly uses = new Map<Socket, ConnectionUse>();
  /** Number of connections accepted since the start. */
  private accepted = 0;

  constructor(private readonly server: Server) {
    server.on('connection', (socket: Socket) => this.add(socket));
    server.prependListener('request', (request, response) =>
      this.addResponse(request, response),
    );
  }

  /**
   * Accepts no new connections; those that are open stay, with their time limits in force. Calls `onClosed` when the
   * last one has ended.
   */
  stopListening(onClosed?: () => void): void {
    // The method of the HTTP server would also close idle connections, and end the checks for late headers.
    NetServer.prototype.close.call(this.server, onClosed);
  }

  /**
   * Accepts the connections that the kernel has established for this server; it would reset them once the server stops
   * listening. The event loop accepts only one in a turn. Goes on until none is left, or until a time on the clock.
   */
  async acceptBacklog(clock: Clock, until: number): Promise<void> {
    let quietTurns = 0;
    while (quietTurns < QUIET_TURNS && clock.now() < until) {
      const {accepted} = this;
      await finishTurn();
      quietTurns = this.accepted === accepted ? quietTurns + 1 : 0;
    }
  }

  /** Whether no request behind that of a response has been read from its connection. */
  isLast(response: ServerResponse): boolean {
    return this.uses.get(response.req.socket)?.lastResponse === response;
  }

  /**
   * Closes the connections that have carried a request, and on which no response is open and no request is being read,
   * judged by all that the kernel had received of them.
   *
   * @returns how many there were
   */
  async closeIdle(): Promise<number> {
    // The first turn of the event loop may be one that had read its connections before this call.
    for (let turn = 0; turn < 2; turn++) await finishTurn();
    const idle = [...this.uses].filter(([socket, use]) => isIdle(socket, use));
    for (const [socket] of idle) socket.destroy();
    return idle.length;
  }

  private add(socket: Socket): void {
    this.accepted += 1;
    this.uses.set(socket, {
      openResponses: 0,
      bytesReadAtRest: 0,
    });
    socket.once('close', () => this.uses.delete(socket));
  }

  private addResponse(request: IncomingMessage, response: ServerResponse) {
    const {socket} = request;
    const use = this.uses.get(socket);
    if (!use) return;
    use.lastResponse = response;
    use.openResponses += 1;
    noteRequestRead(request, use);
    // Emitted once the last byte was handed to the kernel.
    response.once('close', () => {
      use.openResponses -= 1;
    });
  }
}

/** Notes how many bytes were read when a request was whole: at once without a body, otherwise with the end of its body. */
function noteRequestRead(request: IncomingMessage, use: ConnectionUse): void {
  const {socket} = request;
  const {bytesRead} = socket;
  use.bytesReadAtRest = bytesRead;
  process.nextTick(() => {
    if (request.complete) return;
    use.incompleteRequest = request;
    request.once('end', () => {
      use.incompleteRequest = undefined;
      use.bytesReadAtRest = socket.bytesRead;
    });
  });
}

function isIdle(socket: Socket, use: ConnectionUse): boolean {
  return (
    use.lastResponse !== undefined &&
    use.openResponses === 0 &&
    use.incompleteRequest === undefined &&
    socket.writableLength === 0 &&
    socket.bytesRead === use.bytesReadAtRest
  );
}
