import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {Server as NetServer} from 'node:net';
import type {Socket} from 'node:net';
import type {Clock} from '../clock/clock.js';
import {finishTurn} from './finish_turn.js';
import {LingeringConnections} from './lingering_connections.js';
import {readReceived} from './read_received.js';

interface Options {
  readonly clock: Clock;
  readonly server: Server;
  /** Bytes that were read from a connection and not parsed; 0 if absent. */
  readonly unparsedBytesOf?: (socket: Socket) => number;
  /** Time without a byte in or out after which an idle connection is closed, in ms. */
  readonly quietMs?: number;
}

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
  /** Number of requests that were read behind the response that closes the connection, after it was sent. */
  requestsBehindEnd: number;
  /** When it was accepted, or when the last byte came in or went out, on the clock. */
  activeAt: number;
  /** Number of bytes that had been read then. */
  bytesReadThen: number;
}

/** Turns of the event loop without a new connection after which none waits to be accepted. */
const QUIET_TURNS = 2;
/** Connections that wait to be accepted, at most: the 511 that Node.js asks the kernel to keep, and one more. */
const MAX_BACKLOG_CONNECTIONS = 512;
/** Time within which a process looks at what the kernel has received, in ms; where it takes longer, more may have come meanwhile. */
const MAX_LOOK_MS = 50;
/** Looks of which one has to be shorter, for a process that is not behind. */
const MAX_LOOKS = 2;
/** Time within which the next request of a caller that had none on its way is expected to have been read, in ms. */
const DEFAULT_QUIET_MS = 1_000;
/** Largest number of requests that are read from a connection behind its last response; each takes memory. */
const MAX_REQUESTS_BEHIND_END = 100;

/**
 * Closes the connections of an HTTP server: idle ones, and those that end with a response. To Node.js itself a
 * connection is idle once its response was ended, also while a part of it waits for a slow reader; here it is idle once
 * the response has left this process.
 */
export class ServerConnections {
  private readonly uses = new Map<Socket, ConnectionUse>();
  /** Number of connections accepted since the start. */
  private accepted = 0;
  /** The same when the listener was to close; absent before. */
  private acceptedBeforeEnd: number | undefined;
  private isBacklogKnownEmpty = true;
  /** Settles when the last request goes on that waits for the backlog; absent while none has to wait. */
  private lastWaiting: Promise<void> | undefined;
  /** Whether the last look at the connections took so long that more may have come meanwhile. */
  private isBehind = false;

  private readonly lingering: LingeringConnections;

  constructor(private readonly options: Options) {
    const {server} = options;
    this.lingering = new LingeringConnections(options);
    server.on('connection', (socket: Socket) => this.add(socket));
    // With this listener the server leaves it to it to close connections that time out.
    server.on('timeout', (socket: Socket) => void this.closeExpired(socket));
    server.prependListener('request', (request, response) =>
      this.addResponse(request, response),
    );
  }

  /** Number of connections that ended with a response, and that their callers had not closed in time. */
  get unclosedCount(): number {
    return this.lingering.expiredCount;
  }

  /** Whether a connection is open that ended with a response, and that its caller may still close. */
  get hasLingering(): boolean {
    return this.lingering.size > 0;
  }

  /** Closes a connection behind what was written to it; what its caller still sends is read and discarded. */
  closeBehindResponse(socket: Socket): void {
    this.uses.get(socket)?.incompleteRequest?.resume();
    this.lingering.add(socket);
  }

  /**
   * Accepts no new connections; those that are open stay, with their time limits in force. Calls `onClosed` when the
   * last one has ended.
   */
  stopListening(onClosed?: () => void): void {
    // The method of the HTTP server would also close idle connections, and end the checks for late headers.
    NetServer.prototype.close.call(this.options.server, onClosed);
  }

  /**
   * Accepts the connections that the kernel has established for this server; it would reset them once the server stops
   * listening. The event loop accepts only one in a turn. Goes on until all are accepted that waited at the start of it,
   * or until a time on the clock that may change meanwhile.
   */
  async acceptBacklog(until: () => number): Promise<void> {
    this.acceptedBeforeEnd = this.accepted;
    this.isBacklogKnownEmpty = false;
    const accepting = this.acceptUntil(until);
    this.lastWaiting = accepting;
    await accepting;
    this.lastWaiting = undefined;
  }

  /**
   * While the backlog is accepted, waits for the end of that, and lets one request go on in each turn of the event loop:
   * the work for requests would slow the turns, and callers that are answered would connect again.
   */
  async waitForBacklog(): Promise<void> {
    if (!this.lastWaiting) return;
    this.lastWaiting = this.lastWaiting.then(finishTurn);
    await this.lastWaiting;
  }

  private async acceptUntil(until: () => number): Promise<void> {
    const {clock} = this.options;
    let quietTurns = 0;
    while (
      quietTurns < QUIET_TURNS &&
      this.acceptedLate < MAX_BACKLOG_CONNECTIONS &&
      clock.now() < until()
    ) {
      const {accepted} = this;
      const turnAt = clock.now();
      await finishTurn();
      const isShort = clock.now() - turnAt <= MAX_LOOK_MS;
      const isQuiet = this.accepted === accepted && isShort;
      quietTurns = isQuiet ? quietTurns + 1 : 0;
    }
    this.isBacklogKnownEmpty = quietTurns === QUIET_TURNS;
  }

  /** Number of connections accepted since the listener was to close. */
  get acceptedLate(): number {
    const {accepted, acceptedBeforeEnd = accepted} = this;
    return accepted - acceptedBeforeEnd;
  }

  /** Whether the kernel may have held connections, when the listener was closed, that were never accepted. */
  get isBacklogLeft(): boolean {
    return !this.isBacklogKnownEmpty;
  }

  /** Number of connections of which no request was read. */
  get unusedCount(): number {
    return [...this.uses.values()].filter(use => !use.lastResponse).length;
  }

  /** Whether no request behind that of a response has been read from its connection. */
  isLast(response: ServerResponse): boolean {
    return this.uses.get(response.req.socket)?.lastResponse === response;
  }

  /**
   * Closes the connections that have carried a request, that are idle and that have been quiet for a time: a caller that
   * does not expect the close may just have sent its next request. Judged by all that the kernel had received of them,
   * so none is closed by a process that is behind.
   *
   * @returns how many there were
   */
  async closeQuiet(): Promise<number> {
    await this.look();
    this.noteBytesRead();
    if (this.isBehind) return 0;
    const quiet = [...this.uses].filter(
      ([socket, use]) => this.isIdle(socket, use) && !this.isActive(use),
    );
    for (const [socket] of quiet) socket.destroy();
    return quiet.length;
  }

  /**
   * Whether a request may be on its way, or a caller may still close its connection; as of the last call of
   * {@link closeQuiet}.
   */
  get hasActive(): boolean {
    return (
      this.isBehind ||
      this.hasLingering ||
      [...this.uses.values()].some(use => this.isActive(use))
    );
  }

  /** Number of connections of which a part of a request was read, and not the rest. */
  get incompleteCount(): number {
    return [...this.uses].filter(([socket, use]) =>
      this.isBeingRead(socket, use),
    ).length;
  }

  /** Closes a connection whose idle timeout has passed, unless bytes of its next request had arrived by then. */
  private async closeExpired(socket: Socket): Promise<void> {
    // The timeout was that of a response then.
    if (this.isServing(socket)) return;
    const {bytesRead} = socket;
    await readReceived();
    if (!this.isServing(socket) && socket.bytesRead === bytesRead)
      socket.destroy();
  }

  private isServing(socket: Socket): boolean {
    return (this.uses.get(socket)?.openResponses ?? 0) > 0;
  }

  /** Reads what the kernel had received, some times if this takes long. */
  private async look(): Promise<void> {
    const {clock} = this.options;
    for (let look = 0; look < MAX_LOOKS; look++) {
      const lookAt = clock.now();
      await readReceived();
      this.isBehind = clock.now() - lookAt > MAX_LOOK_MS;
      if (!this.isBehind) return;
    }
  }

  private isActive({activeAt}: ConnectionUse): boolean {
    const {clock, quietMs = DEFAULT_QUIET_MS} = this.options;
    return clock.now() - activeAt < quietMs;
  }

  private noteActive(socket: Socket, use: ConnectionUse): void {
    use.activeAt = this.options.clock.now();
    use.bytesReadThen = socket.bytesRead;
  }

  /** Notes bytes that have not completed a request. */
  private noteBytesRead(): void {
    for (const [socket, use] of this.uses)
      if (socket.bytesRead !== use.bytesReadThen) this.noteActive(socket, use);
  }

  private add(socket: Socket): void {
    this.accepted += 1;
    this.uses.set(socket, {
      openResponses: 0,
      bytesReadAtRest: 0,
      requestsBehindEnd: 0,
      activeAt: this.options.clock.now(),
      bytesReadThen: 0,
    });
    socket.once('close', () => this.uses.delete(socket));
    // The HTTP server calls it when a response has left that closes its connection.
    socket.destroySoon = () => this.closeBehindResponse(socket);
  }

  private addResponse(request: IncomingMessage, response: ServerResponse) {
    const {socket} = request;
    const use = this.uses.get(socket);
    if (!use) return;
    if (this.lingering.has(socket)) this.noteRequestBehindEnd(socket, use);
    use.lastResponse = response;
    use.openResponses += 1;
    this.noteActive(socket, use);
    noteRequestRead(request, use);
    // Emitted once the last byte was handed to the kernel.
    response.once('close', () => {
      use.openResponses -= 1;
      this.noteActive(socket, use);
    });
  }

  private isIdle(socket: Socket, use: ConnectionUse): boolean {
    return (
      use.lastResponse !== undefined &&
      use.openResponses === 0 &&
      socket.writableLength === 0 &&
      !this.isBeingRead(socket, use)
    );
  }

  private isBeingRead(socket: Socket, use: ConnectionUse): boolean {
    const {unparsedBytesOf} = this.options;
    return (
      use.incompleteRequest !== undefined ||
      socket.bytesRead !== use.bytesReadAtRest ||
      (unparsedBytesOf?.(socket) ?? 0) > 0
    );
  }

  private noteRequestBehindEnd(socket: Socket, use: ConnectionUse): void {
    use.requestsBehindEnd += 1;
    if (use.requestsBehindEnd > MAX_REQUESTS_BEHIND_END) socket.destroy();
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
