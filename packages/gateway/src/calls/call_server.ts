import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {CallConfiguration} from '@bayspool/decisions/calls';
import type {Clock, RandomSource, Timer} from '@bayspool/kernel';
import type {ConfigurationBelief} from '../beliefs/configuration_belief.js';
import type {EventLog} from '../observability/event_log.js';
import type {GatewayMetrics} from '../observability/gateway_metrics.js';
import type {ValidatedRequest} from './validated_request.js';
import {CallerResponse} from './caller_response.js';
import {AbortReason} from './abort_reason.js';
import type {CallForwarder} from './call_forwarder.js';
import {RequestRecorder} from './request_recorder.js';
import type {HeaderNames} from './header_names.js';
import type {LocalResponse} from './local_response.js';
import type {IncomingCall} from './incoming_call.js';
import {readBody} from './read_body.js';
import {readNumberHeader} from './read_number_header.js';
import {RequestValidator} from './request_validator.js';
import {createCall} from './create_call.js';
import {closeServer} from '../lifecycle/close_server.js';
import {listenOn} from '../lifecycle/listen_on.js';

interface Options {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: EventLog;
  readonly metrics: GatewayMetrics;
  readonly headerNames: HeaderNames;
  readonly configuration: ConfigurationBelief;
  readonly forwarder: CallForwarder;
  readonly ip: string;
  readonly port: number;
  /** Age of the configuration up to which keys are accepted, in ms. */
  readonly maxKeyAgeMs: () => number;
  /** Age of the configuration up to which an unknown route or key is refused as such, in ms. */
  readonly maxDenialAgeMs: () => number;
  /** Whether a request that is read now may have been sent before the configuration in force was. */
  readonly mayPredateConfiguration: () => boolean;
  /** Whether connections are closed behind their answers now. */
  readonly isClosing: () => boolean;
}

/** The status of a body over the bound, which is known only after the other checks. */
const PAYLOAD_TOO_LARGE = 413;
/** Says that the request has not run. */
const REQUEST_TIMEOUT = 408;
/** Room for headers over the largest configured bound, in bytes; above it Node refuses by itself. */
const MAX_HEADER_BYTES = 65_536;
/** Bodies accepted before a configuration is known, in bytes. */
const DEFAULT_MAX_BODY_BYTES = 1_048_576;

/** The HTTP server for callers: checks a request, finds its route and hands it to the forwarder. */
export class CallServer {
  private readonly server: Server;
  private readonly validator: RequestValidator;
  private readonly recorder: RequestRecorder;
  private readonly openResponses = new Map<ServerResponse, AbortController>();
  /** Connections that take no further request. */
  private readonly closingConnections = new WeakSet<Socket>();

  constructor(private readonly options: Options) {
    this.validator = new RequestValidator(options);
    this.recorder = new RequestRecorder(options);
    this.server = createServer(
      {maxHeaderSize: MAX_HEADER_BYTES, noDelay: true},
      (request, response) => this.accept(request, response),
    );
    this.server.requestTimeout = 0;
    this.server.on('clientError', (error, socket) =>
      this.refuseMalformed(error, socket as Socket),
    );
    options.configuration.onChange(({limits}) => this.applyLimits(limits));
  }

  /** Requests that are not answered yet. */
  get openCalls(): number {
    return this.openResponses.size;
  }

  /** Listens for callers. */
  start(): Promise<void> {
    const {ip, port} = this.options;
    return listenOn(this.server, ip, port);
  }

  /** Closes connections that carry no request, and takes no new ones. */
  closeIdle(): void {
    this.server.close();
    this.server.closeIdleConnections();
  }

  /** Ends all open calls. @returns how many there were */
  abortAll(reason: AbortReason): number {
    const count = this.openResponses.size;
    for (const controller of [...this.openResponses.values()])
      controller.abort(reason);
    return count;
  }

  /** Closes all connections at once. */
  stop(): void {
    closeServer(this.server);
  }

  /** An answer whose head was sent before the host began to leave did not announce the close. */
  private closeIfShuttingDown(socket: Socket): void {
    if (!this.options.isClosing()) return;
    this.closingConnections.add(socket);
    socket.destroySoon();
  }

  private applyLimits(limits: CallConfiguration['limits']): void {
    this.server.keepAliveTimeout = limits.idleTimeoutMs;
    this.server.headersTimeout = limits.headerTimeoutMs;
  }

  private refuseMalformed(error: NodeJS.ErrnoException, socket: Socket): void {
    if (!socket.writable) return;
    const status =
      error.code === 'HPE_HEADER_OVERFLOW'
        ? '431 Request Header Fields Too Large'
        : '400 Bad Request';
    socket.end(
      `HTTP/1.1 ${status}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n`,
    );
    this.recorder.recordMalformed(
      Number(status.slice(0, 3)),
      error.code ?? error.message,
    );
  }

  private accept(request: IncomingMessage, response: ServerResponse): void {
    // It crossed the end of its connection: unread, so its caller may send it again elsewhere.
    if (this.closingConnections.has(request.socket))
      return void request.socket.destroy();
    response.once('finish', () => this.closeIfShuttingDown(request.socket));
    const controller = new AbortController();
    this.openResponses.set(response, controller);
    response.once('close', () => {
      this.openResponses.delete(response);
      if (!response.writableFinished)
        controller.abort(AbortReason.CALLER_DISCONNECTED);
    });
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
    const {clock, headerNames: names} = this.options;
    const acceptedAt = clock.now();
    const caller = new CallerResponse({
      clock,
      response,
      lastEventId: readNumberHeader(request, names.lastEventId),
      shouldCloseConnection: this.options.isClosing,
    });
    const admission = this.validator.validate(request);
    if (!('route' in admission)) return this.refuse(request, caller, admission);
    const body = await this.readBody(request, admission, controller);
    if (body === 'broken' || caller.isClosed)
      return this.recorder.recordIncompleteBody(request, acceptedAt);
    if (body === 'late')
      return this.refuseIncompleteBody(request, response, caller);
    if (body === 'too-large')
      return this.refuse(request, caller, {
        status: PAYLOAD_TOO_LARGE,
        reason: 'body over the limit of the configuration',
      });
    const call = createCall({
      request,
      body,
      validated: admission,
      headerNames: names,
      acceptedAt,
    });
    this.recorder.recordAccepted(call);
    await this.forward(call, caller, controller);
  }

  /** Reads the body within the bounds of the configuration and the time limit of the route. */
  private async readBody(
    request: IncomingMessage,
    {route}: ValidatedRequest,
    controller: AbortController,
  ): ReturnType<typeof readBody> {
    const {configuration: belief} = this.options;
    const maxBytes = belief.current?.limits.bodyBytes ?? DEFAULT_MAX_BODY_BYTES;
    const timer = this.abortAfter(route.timeLimitMs, controller);
    const body = await readBody(request, maxBytes, controller.signal);
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
    return this.options.clock.after(delayMs, () =>
      controller.abort(AbortReason.TIME_LIMIT),
    );
  }

  /** The rest of a body that comes too late is not waited for: the connection ends. */
  private refuseIncompleteBody(
    request: IncomingMessage,
    response: ServerResponse,
    caller: CallerResponse,
  ): void {
    response.shouldKeepAlive = false;
    response.once('finish', () => request.destroy());
    this.refuse(request, caller, {
      status: REQUEST_TIMEOUT,
      reason: 'body not received within the time limit of the route',
    });
  }

  private refuse(
    request: IncomingMessage,
    caller: CallerResponse,
    refusal: LocalResponse,
  ): void {
    // The rest of a body that nobody reads would be taken for the next request.
    request.resume();
    if (!caller.isClosed) caller.sendLocal(refusal);
    this.recorder.recordRefused(request, refusal);
  }
}
