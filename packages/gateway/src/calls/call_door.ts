import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {CallConfiguration} from '@bayspool/decisions/calls';
import type {Clock, RandomSource, Timer} from '@bayspool/kernel';
import type {ConfigurationBelief} from '../beliefs/configuration_belief.js';
import type {EventLog} from '../observability/event_log.js';
import type {GatewayMetrics} from '../observability/gateway_metrics.js';
import type {Admission} from './admission.js';
import {CallerAnswer} from './caller_answer.js';
import {CallEnd} from './call_end.js';
import type {CallForwarder} from './call_forwarder.js';
import {DoorRecord} from './door_record.js';
import type {HeaderNames} from './header_names.js';
import type {OwnAnswer} from './own_answer.js';
import type {IncomingCall} from './incoming_call.js';
import {readBody} from './read_body.js';
import {readNumber} from './read_number.js';
import {RequestCheck} from './request_check.js';
import {toCall} from './to_call.js';
import {closeServer} from '../lifecycle/close_server.js';
import {listenOn} from '../lifecycle/listen_on.js';

interface Options {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: EventLog;
  readonly metrics: GatewayMetrics;
  readonly names: HeaderNames;
  readonly belief: ConfigurationBelief;
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
const TOO_LARGE = 413;
/** Says that the request has not run. */
const REQUEST_TIMEOUT = 408;
/** Room for headers over the largest configured bound, in bytes; above it Node refuses by itself. */
const MAX_HEADER_BYTES = 65_536;
/** Bodies accepted before a configuration is known, in bytes. */
const DEFAULT_BODY_BYTES = 1_048_576;

/** The HTTP server for callers: checks a request, finds its route and hands it to the forwarder. */
export class CallDoor {
  private readonly server: Server;
  private readonly checks: RequestCheck;
  private readonly record: DoorRecord;
  private readonly open = new Map<ServerResponse, AbortController>();
  /** Connections that take no further request. */
  private readonly ended = new WeakSet<Socket>();

  constructor(private readonly options: Options) {
    this.checks = new RequestCheck(options);
    this.record = new DoorRecord(options);
    this.server = createServer(
      {maxHeaderSize: MAX_HEADER_BYTES, noDelay: true},
      (request, response) => this.take(request, response),
    );
    this.server.requestTimeout = 0;
    this.server.on('clientError', (error, socket) =>
      this.refuseFraming(error, socket as Socket),
    );
    options.belief.onChange(({limits}) => this.applyLimits(limits));
  }

  /** Requests that are not answered yet. */
  get openCalls(): number {
    return this.open.size;
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
  cutAll(reason: CallEnd): number {
    const count = this.open.size;
    for (const controller of [...this.open.values()]) controller.abort(reason);
    return count;
  }

  /** Closes all connections at once. */
  stop(): void {
    closeServer(this.server);
  }

  /** An answer whose head was sent before the host began to leave did not announce the close. */
  private endIfClosing(socket: Socket): void {
    if (!this.options.isClosing()) return;
    this.ended.add(socket);
    socket.destroySoon();
  }

  private applyLimits(limits: CallConfiguration['limits']): void {
    this.server.keepAliveTimeout = limits.idleTimeoutMs;
    this.server.headersTimeout = limits.headerTimeoutMs;
  }

  private refuseFraming(error: NodeJS.ErrnoException, socket: Socket): void {
    if (!socket.writable) return;
    const status =
      error.code === 'HPE_HEADER_OVERFLOW'
        ? '431 Request Header Fields Too Large'
        : '400 Bad Request';
    socket.end(
      `HTTP/1.1 ${status}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n`,
    );
    this.record.noteUnread(
      Number(status.slice(0, 3)),
      error.code ?? error.message,
    );
  }

  private take(request: IncomingMessage, response: ServerResponse): void {
    // It crossed the end of its connection: unread, so its caller may send it again elsewhere.
    if (this.ended.has(request.socket)) return void request.socket.destroy();
    response.once('finish', () => this.endIfClosing(request.socket));
    const controller = new AbortController();
    this.open.set(response, controller);
    response.once('close', () => {
      this.open.delete(response);
      if (!response.writableFinished) controller.abort(CallEnd.CALLER_LEFT);
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
    const {clock, names} = this.options;
    const acceptedAt = clock.now();
    const caller = new CallerAnswer({
      clock,
      response,
      lastEventId: readNumber(request, names.lastEventId),
      closesAfter: this.options.isClosing,
    });
    const admission = this.checks.check(request);
    if (!('route' in admission)) return this.refuse(request, caller, admission);
    const body = await this.readBody(request, admission, controller);
    if (body === 'broken' || caller.isClosed)
      return this.record.noteBroken(request, acceptedAt);
    if (body === 'late') return this.refuseLate(request, response, caller);
    if (body === 'too-large')
      return this.refuse(request, caller, {
        status: TOO_LARGE,
        reason: 'body over the limit of the configuration',
      });
    const call = toCall({request, body, admission, names, acceptedAt});
    this.record.noteAccepted(call);
    await this.forward(call, caller, controller);
  }

  /** Reads the body within the bounds of the configuration and the time limit of the route. */
  private async readBody(
    request: IncomingMessage,
    {route}: Admission,
    controller: AbortController,
  ): ReturnType<typeof readBody> {
    const {belief} = this.options;
    const maxBytes = belief.current?.limits.bodyBytes ?? DEFAULT_BODY_BYTES;
    const timer = this.endAfter(route.timeLimitMs, controller);
    const body = await readBody(request, maxBytes, controller.signal);
    timer.cancel();
    return body;
  }

  private async forward(
    call: IncomingCall,
    caller: CallerAnswer,
    controller: AbortController,
  ): Promise<void> {
    const {clock, forwarder} = this.options;
    const timer = this.endAfter(call.deadlineAt - clock.now(), controller);
    try {
      await forwarder.forward(call, caller, controller.signal);
    } finally {
      timer.cancel();
    }
  }

  private endAfter(delayMs: number, controller: AbortController): Timer {
    return this.options.clock.after(delayMs, () =>
      controller.abort(CallEnd.TIME_LIMIT),
    );
  }

  /** The rest of a body that comes too late is not waited for: the connection ends. */
  private refuseLate(
    request: IncomingMessage,
    response: ServerResponse,
    caller: CallerAnswer,
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
    caller: CallerAnswer,
    refusal: OwnAnswer,
  ): void {
    // The rest of a body that nobody reads would be taken for the next request.
    request.resume();
    if (!caller.isClosed) caller.sendOwn(refusal);
    this.record.noteRefused(request, refusal);
  }
}
