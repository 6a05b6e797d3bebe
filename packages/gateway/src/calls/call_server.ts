import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {MAX_HEADER_BYTES} from '@bayspool/decisions/calls';
import type {CallConfiguration} from '@bayspool/decisions/calls';
import {
  afterReads,
  CallerDepartures,
  PacedServer,
  ServerConnections,
} from '@bayspool/kernel';
import type {
  Clock,
  ConnectionReads,
  RandomSource,
  RequestPacer,
  Timer,
} from '@bayspool/kernel';
import type {ActiveConfiguration} from '../discovery/active_configuration.js';
import type {StopAdmission} from '../lifecycle/stop_admission.js';
import {StopPhase} from '../lifecycle/stop_phase.js';
import type {EventLog} from '../observability/event_log.js';
import type {GatewayMetrics} from '../observability/gateway_metrics.js';
import type {CallHead} from './call_head.js';
import type {CallRejection} from './call_rejection.js';
import {CallerResponse} from './caller_response.js';
import {AbortReason} from './abort_reason.js';
import type {CallForwarder} from './call_forwarder.js';
import {CallHolding} from './call_holding.js';
import type {HeldBytes} from './held_bytes.js';
import {RequestRecorder} from './request_recorder.js';
import {RequestRejecter} from './request_rejecter.js';
import type {HeaderNames} from './header_names.js';
import type {IncomingCall} from './incoming_call.js';
import type {RelayAdmission} from '../relay/relay_admission.js';
import {readRelayOrigin} from '../relay/read_relay_origin.js';
import {readBody} from './read_body.js';
import {readCallHead} from './read_call_head.js';
import {readNumberHeader} from './read_number_header.js';
import {RequestValidator} from './request_validator.js';
import {createCall} from './create_call.js';
import {startUnreadResponseTimeout} from './unread_response_timeout.js';
import {closeServer} from '../lifecycle/close_server.js';
import {listenOn} from '../lifecycle/listen_on.js';

interface Options {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: EventLog;
  readonly metrics: GatewayMetrics;
  readonly headerNames: HeaderNames;
  readonly configuration: ActiveConfiguration;
  readonly forwarder: CallForwarder;
  readonly stopAdmission: StopAdmission;
  readonly heldBytes: HeldBytes;
  /** Bounds what connections make this host hold before their requests are handled. */
  readonly pacer: RequestPacer;
  /** How old this host's knowledge of its connections is. */
  readonly connectionReads: ConnectionReads;
  readonly ip: string;
  readonly port: number;
  /** Maximum age of the configuration at which API keys are still accepted, in ms. */
  readonly maxKeyAgeMs: () => number;
  /**
   * Maximum age of the configuration at which an unknown route or key is rejected for good; in an
   * older one it may only be missing. In ms.
   */
  readonly maxDenialAgeMs: () => number;
  /** Whether a request that is read now may have been sent before the current configuration was. */
  readonly mayPredateConfiguration: () => boolean;
  /** Whether connections are now closed after their responses. */
  readonly isClosing: () => boolean;
  /** Admission of relayed calls; absent if callers themselves connect to this server. */
  readonly relayAdmission?: RelayAdmission;
}

/** Largest body accepted before a configuration is known, in bytes. */
const DEFAULT_MAX_BODY_BYTES = 1_048_576;

/** Largest number of open requests of a connection; those that a caller sends ahead beyond it wait unread. */
const MAX_OPEN_PER_CONNECTION = 16;

/** HTTP server for callers: validates a request, resolves its route and hands it to the forwarder. */
export class CallServer {
  private readonly server: Server;
  private readonly connections: ServerConnections;
  private readonly validator: RequestValidator;
  private readonly recorder: RequestRecorder;
  private readonly rejecter: RequestRejecter;
  private readonly departures = new CallerDepartures();
  private readonly openResponses = new Map<ServerResponse, AbortController>();
  /** Connections whose last response says that they close; they accept no further request. */
  private readonly closingConnections = new WeakSet<Socket>();

  constructor(private readonly options: Options) {
    const paced = new PacedServer({
      pacer: options.pacer,
      maxOpenPerConnection: MAX_OPEN_PER_CONNECTION,
      readsBehindEnd: true,
      server: {maxHeaderSize: MAX_HEADER_BYTES, noDelay: true},
      listener: (request, response) => this.accept(request, response),
    });
    this.validator = new RequestValidator({
      ...options,
      headerBytesOf: request => paced.headerBytesOf(request),
    });
    const recorder = new RequestRecorder(options);
    this.recorder = recorder;
    this.rejecter = new RequestRejecter({...options, recorder});
    this.server = paced.server;
    const {clock} = options;
    this.connections = new ServerConnections({
      clock,
      server: this.server,
      unparsedBytesOf: socket => paced.unparsedBytesOf(socket),
    });
    this.server.requestTimeout = 0;
    this.server.on('clientError', (error, socket) =>
      this.rejectMalformed(error, socket as Socket),
    );
    options.configuration.onChange(({limits}) => this.applyLimits(limits));
  }

  /** Number of requests that have no complete response yet. */
  get openCalls(): number {
    return this.openResponses.size;
  }

  /** Whether connections are accepted. */
  get isListening(): boolean {
    return this.server.listening;
  }

  /** Starts listening for callers. */
  start(): Promise<void> {
    const {ip, port} = this.options;
    return listenOn(this.server, ip, port);
  }

  /** Accepts the connections that the kernel has established, at most until a time on the clock that may change, and no others. */
  async stopListening(until: () => number): Promise<void> {
    await this.connections.acceptBacklog(until);
    this.connections.stopListening();
  }

  /** Whether a request may be on its way, or a caller may still close its connection; as of the last call of {@link closeQuiet}. */
  get hasActiveConnections(): boolean {
    return this.connections.hasActive;
  }

  /** Whether a connection is open that ended with a response, and that its caller may still close. */
  get hasLingeringConnections(): boolean {
    return this.connections.hasLingering;
  }

  /** Number of connections of which a part of a request was read, and not the rest. */
  get incompleteRequests(): number {
    return this.connections.incompleteCount;
  }

  /** Number of connections accepted since the listener was to close. */
  get acceptedLate(): number {
    return this.connections.acceptedLate;
  }

  /** Whether the kernel may have held connections, when the listener was closed, that were never accepted. */
  get isBacklogLeft(): boolean {
    return this.connections.isBacklogLeft;
  }

  /** Number of connections of which no request was read. */
  get unusedConnections(): number {
    return this.connections.unusedCount;
  }

  /** Number of connections that ended with a response, and that their callers had not closed in time, since the start. */
  get unclosedConnections(): number {
    return this.connections.unclosedCount;
  }

  /** Closes connections that are idle and quiet. @returns how many there were */
  closeQuiet(): Promise<number> {
    return this.connections.closeQuiet();
  }

  /** Aborts all open calls. @returns how many there were */
  abortAll(reason: AbortReason): number {
    const count = this.openResponses.size;
    for (const controller of [...this.openResponses.values()])
      controller.abort(reason);
    return count;
  }

  /** Closes all connections immediately. */
  stop(): void {
    for (const response of this.openResponses.keys())
      this.recorder.recordUnsent(response.req, response.writableLength);
    closeServer(this.server);
  }

  /** Whether a connection is closed after this response: requests behind it that are being served get theirs first. */
  private shouldCloseAfter(response: ServerResponse): boolean {
    if (!this.options.isClosing() || !this.connections.isLast(response))
      return false;
    this.closingConnections.add(response.req.socket);
    return true;
  }

  private applyLimits(limits: CallConfiguration['limits']): void {
    this.server.keepAliveTimeout = limits.idleTimeoutMs;
    this.server.headersTimeout = limits.headerTimeoutMs;
  }

  private rejectMalformed(error: NodeJS.ErrnoException, socket: Socket): void {
    if (!socket.writable) return;
    const status =
      error.code === 'HPE_HEADER_OVERFLOW'
        ? '431 Request Header Fields Too Large'
        : '400 Bad Request';
    socket.end(
      `HTTP/1.1 ${status}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n`,
    );
    this.connections.closeBehindResponse(socket);
    this.recorder.recordMalformed(
      Number(status.slice(0, 3)),
      error.code ?? error.message,
    );
  }

  private accept(request: IncomingMessage, response: ServerResponse): void {
    // The connection closes after a response to an earlier request. This one does not run, so the caller can safely
    // resend it.
    if (this.closingConnections.has(request.socket)) {
      request.resume();
      return this.recorder.recordIgnored(request);
    }
    const controller = new AbortController();
    this.openResponses.set(response, controller);
    response.once('close', () => this.openResponses.delete(response));
    this.departures.watch(request, response, () =>
      controller.abort(AbortReason.CALLER_DISCONNECTED),
    );
    response.on('error', () => undefined);
    this.handle(request, response, controller).catch(error => {
      this.options.log.write('unexpected', {
        where: 'request',
        message: error instanceof Error ? String(error.stack) : String(error),
      });
      response.destroy();
    });
  }

  private async handle(
    request: IncomingMessage,
    response: ServerResponse,
    controller: AbortController,
  ): Promise<void> {
    const held = new CallHolding(this.options.heldBytes, response);
    try {
      await this.handleHeld(request, response, controller, held);
    } finally {
      held.release();
    }
  }

  private async handleHeld(
    request: IncomingMessage,
    response: ServerResponse,
    controller: AbortController,
    held: CallHolding,
  ): Promise<void> {
    const {clock, headerNames, relayAdmission, connectionReads, stopAdmission} =
      this.options;
    const acceptedAt = clock.now();
    const caller = new CallerResponse({
      clock,
      response,
      held,
      lastEventId: readNumberHeader(request, headerNames.lastEventId),
      shouldCloseConnection: () => this.shouldCloseAfter(response),
      notRunHeader: relayAdmission && headerNames.notRun,
    });
    startUnreadResponseTimeout({
      response,
      onExpired: unsentBytes => {
        this.recorder.recordUnread(request, unsentBytes);
        caller.abort();
      },
    });
    await this.connections.waitForBacklog();
    await connectionReads.refresh();
    if (hasLeft(caller, controller.signal))
      return this.recorder.recordLeft(request, acceptedAt);
    const refusal = relayAdmission && (await relayAdmission.findRefusal());
    if (refusal !== undefined)
      return this.rejecter.rejectRelayed(request, caller, refusal);
    const validated = this.validator.validate(request);
    if (!('route' in validated))
      return this.rejecter.rejectInvalid(request, caller, validated);
    const {route} = validated;
    const head = readCallHead({request, route, headerNames, acceptedAt});
    const unfinishable = stopAdmission.findRejection(head, StopPhase.HEAD);
    if (unfinishable)
      return this.rejecter.rejectStopping(request, caller, unfinishable);
    const full = held.takeBody(request, this.maxBodyBytes, route.priority);
    if (full) return this.rejecter.rejectFull(request, caller);
    const wasComplete = request.complete;
    const body = await this.readBody(request, head, controller, held);
    // The end of the connection is read behind the body.
    if (!wasComplete) await connectionReads.refresh();
    if (body === 'broken')
      return this.recorder.recordIncompleteBody(request, acceptedAt);
    if (hasLeft(caller, controller.signal))
      return this.recorder.recordLeft(request, acceptedAt);
    if (typeof body === 'object' && 'reason' in body)
      return this.rejecter.rejectStopping(request, caller, body);
    if (body === 'late')
      return this.rejecter.rejectIncompleteBody(request, response, caller);
    if (body === 'too-large')
      return this.rejecter.rejectLargeBody(request, caller);
    const call = createCall({
      request,
      head,
      body,
      validated,
      headerNames,
      completedAt: clock.now(),
      relayOrigin: relayAdmission && readRelayOrigin(request),
    });
    this.recorder.recordAccepted(call);
    await this.forward(call, caller, controller);
  }

  private get maxBodyBytes(): number {
    const {current} = this.options.configuration;
    return current?.limits.bodyBytes ?? DEFAULT_MAX_BODY_BYTES;
  }

  /**
   * Reads the body within the configured size limit and the time limit of the route, and while the call can still be
   * served if the host stops.
   */
  private async readBody(
    request: IncomingMessage,
    head: CallHead,
    controller: AbortController,
    held: CallHolding,
  ): Promise<Awaited<ReturnType<typeof readBody>> | CallRejection> {
    const maxBytes = this.maxBodyBytes;
    const {signal} = controller;
    if (request.complete)
      return readBody({request, maxBytes, signal, ...held.body});
    const timer = this.abortAfter(head.route.timeLimitMs, controller);
    const body = await this.options.stopAdmission.guard(
      head,
      StopPhase.BODY,
      signal,
      waitSignal =>
        readBody({request, maxBytes, signal: waitSignal, ...held.body}),
    );
    timer.cancel();
    return body;
  }

  private async forward(
    call: IncomingCall,
    caller: CallerResponse,
    controller: AbortController,
  ): Promise<void> {
    const {clock, forwarder} = this.options;
    const timer = this.abortAfter(call.deadlineAt - clock.now(), controller);
    try {
      await forwarder.forward(call, caller, controller.signal);
    } finally {
      timer.cancel();
    }
  }

  private abortAfter(delayMs: number, controller: AbortController): Timer {
    return afterReads(this.options.clock, delayMs, () =>
      controller.abort(AbortReason.TIME_LIMIT),
    );
  }
}

function hasLeft({isClosed}: CallerResponse, {reason}: AbortSignal): boolean {
  return isClosed || reason === AbortReason.CALLER_DISCONNECTED;
}
