import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {chooseService} from '@bayspool/decisions/calls';
import type {
  CallConfiguration,
  CallRoute,
  KeyHolder,
} from '@bayspool/decisions/calls';
import type {Clock, RandomSource} from '@bayspool/kernel';
import type {ConfigurationBelief} from '../beliefs/configuration_belief.js';
import type {EventLog} from '../observability/event_log.js';
import type {GatewayMetrics} from '../observability/gateway_metrics.js';
import {CallerAnswer} from './caller_answer.js';
import type {CallForwarder} from './call_forwarder.js';
import type {HeaderNames} from './header_names.js';
import type {IncomingCall} from './incoming_call.js';
import type {OwnAnswer} from './own_answer.js';
import {readBody} from './read_body.js';
import {readPrompt} from './read_prompt.js';
import {chooseRetryAfter} from './retry_after.js';

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
  /** Whether connections are closed behind their answers now. */
  readonly isClosing: () => boolean;
}

const STATUS = {
  BAD_REQUEST: 400,
  UNAUTHORIZED: 401,
  NOT_FOUND: 404,
  TOO_LARGE: 413,
  MISDIRECTED: 421,
  HEADERS_TOO_LARGE: 431,
  UNAVAILABLE: 503,
};
/** Room for headers over the largest configured bound, in bytes; above it Node refuses by itself. */
const MAX_HEADER_BYTES = 65_536;
/** Bodies accepted before a configuration is known, in bytes. */
const DEFAULT_BODY_BYTES = 1_048_576;
/** The value by which a caller leaves the model open. */
const ANY_MODEL = '*';
/** Time kept back from a caller's deadline for the answer's way, in ms. */
const ANSWER_WAY_MS = 10;

/** The HTTP server for callers: checks a request, finds its route and hands it to the forwarder. */
export class CallDoor {
  private readonly server: Server;
  private readonly open = new Map<ServerResponse, AbortController>();
  private readonly sockets = new Set<Socket>();

  constructor(private readonly options: Options) {
    this.server = createServer(
      {maxHeaderSize: MAX_HEADER_BYTES, noDelay: true},
      (request, response) => this.take(request, response),
    );
    this.server.requestTimeout = 0;
    this.server.on('clientError', (error, socket) =>
      this.refuseFraming(error, socket as Socket),
    );
    this.server.on('connection', socket => this.noteSocket(socket));
    options.belief.onChange(configuration => this.applyLimits(configuration));
  }

  /** Requests that are not answered yet. */
  get openCalls(): number {
    return this.open.size;
  }

  start(): Promise<void> {
    const {ip, port} = this.options;
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, ip, () => resolve());
    });
  }

  /** Closes connections that carry no request, and takes no new ones. */
  closeIdle(): void {
    this.server.close();
    this.server.closeIdleConnections();
  }

  /** Ends all open calls. @returns how many there were */
  cutAll(reason: string): number {
    const count = this.open.size;
    for (const controller of [...this.open.values()]) controller.abort(reason);
    return count;
  }

  stop(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private noteSocket(socket: Socket): void {
    this.sockets.add(socket);
    socket.once('close', () => this.sockets.delete(socket));
  }

  private applyLimits({limits}: CallConfiguration): void {
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
    this.options.log.write('request_refused', {
      request: '',
      status: Number(status.slice(0, 3)),
      reason: `request not understood: ${error.code ?? error.message}`,
    });
  }

  private take(request: IncomingMessage, response: ServerResponse): void {
    const controller = new AbortController();
    this.open.set(response, controller);
    response.once('close', () => {
      this.open.delete(response);
      if (!response.writableFinished) controller.abort('caller left');
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
    const {clock, names, belief, forwarder} = this.options;
    const acceptedAt = clock.now();
    const caller = new CallerAnswer({
      clock,
      response,
      lastEventId: readNumber(request, names.lastEventId),
      closesAfter: this.options.isClosing,
      retryAfterName: 'retry-after',
    });
    const refusal = this.check(request);
    if (!('route' in refusal)) return this.refuse(request, caller, refusal);
    const {route, holder} = refusal;
    const limits = belief.current?.limits;
    const body = await readBody(
      request,
      limits?.bodyBytes ?? DEFAULT_BODY_BYTES,
    );
    if (body === 'broken') return;
    if (body === 'too-large')
      return this.refuse(request, caller, {
        status: STATUS.TOO_LARGE,
        reason: 'body over the limit of the configuration',
      });
    const call = this.toCall(request, body, route, holder, acceptedAt);
    this.noteAccepted(call);
    const timer = clock.after(call.deadlineAt - clock.now(), () =>
      controller.abort('time limit'),
    );
    try {
      await forwarder.forward(call, caller, controller.signal);
    } finally {
      timer.cancel();
    }
  }

  /** The route and the key's holder, or why the request is refused; it has not run then. */
  private check(
    request: IncomingMessage,
  ): {route: CallRoute; holder?: KeyHolder} | OwnAnswer {
    const {belief, names, maxDenialAgeMs, maxKeyAgeMs} = this.options;
    const configuration = belief.current;
    if (!configuration) return this.later('no configuration yet');
    const headerBytes = request.rawHeaders.reduce(
      (sum, text) => sum + text.length + 2,
      0,
    );
    if (headerBytes > configuration.limits.headerBytes)
      return {status: STATUS.HEADERS_TOO_LARGE, reason: 'headers too large'};
    const id = request.headers[names.requestId];
    if (typeof id !== 'string' || id.includes(','))
      return {status: STATUS.BAD_REQUEST, reason: 'one request id is needed'};
    const isCurrent = belief.ageMs <= maxDenialAgeMs();
    const route = belief.routes.find(
      request.headers.host ?? '',
      request.url ?? '',
    );
    if (!route)
      return isCurrent
        ? {status: STATUS.NOT_FOUND, reason: 'no route'}
        : this.later('no route in an old configuration');
    const {keys} = configuration;
    const key = request.headers[names.apiKey];
    const holder = typeof key === 'string' ? keys?.get(key) : undefined;
    if (keys && !route.isPublic) {
      if (belief.ageMs > maxKeyAgeMs())
        return this.later('configuration too old to trust keys');
      if (!holder)
        return isCurrent
          ? {status: STATUS.UNAUTHORIZED, reason: 'unknown key'}
          : this.later('unknown key in an old configuration');
    }
    if (route.models.length > 0 && request.headers[names.model] !== ANY_MODEL)
      return {
        status: STATUS.MISDIRECTED,
        reason: 'the model must be left open',
      };
    return {route, holder};
  }

  private later(reason: string): OwnAnswer {
    const retryAfterMs = Math.round(chooseRetryAfter(this.options.random));
    return {status: STATUS.UNAVAILABLE, reason, retryAfterMs};
  }

  private refuse(
    request: IncomingMessage,
    caller: CallerAnswer,
    refusal: OwnAnswer,
  ): void {
    const {log, belief, names, metrics} = this.options;
    // The rest of a body that nobody reads would be taken for the next request.
    request.resume();
    if (!caller.isClosed) caller.sendOwn(refusal);
    const {status, reason, retryAfterMs} = refusal;
    metrics.requests.inc({route: '', outcome: 'refused', reason});
    log.write('request_refused', {
      request: String(request.headers[names.requestId] ?? ''),
      status,
      reason,
      retryAfterMs,
      configuration: belief.current?.version,
      configurationAgeMs: Math.round(belief.ageMs),
    });
  }

  private toCall(
    request: IncomingMessage,
    body: Buffer,
    route: CallRoute,
    holder: KeyHolder | undefined,
    acceptedAt: number,
  ): IncomingCall {
    const {names} = this.options;
    const {headers} = request;
    const id = String(headers[names.requestId]);
    const deadlineMs = readNumber(request, names.deadline) ?? Infinity;
    const session = headers[names.session];
    const model = headers[names.model];
    const sessionId = typeof session === 'string' ? session : undefined;
    return {
      id,
      method: request.method ?? 'GET',
      path: request.url ?? '/',
      rawHeaders: request.rawHeaders,
      body,
      route,
      service: chooseService(route, sessionId ?? id),
      workspace: holder?.workspace,
      priority: holder?.priority ?? route.priority,
      acceptedAt,
      deadlineAt:
        acceptedAt + Math.min(deadlineMs - ANSWER_WAY_MS, route.timeLimitMs),
      prompt: readPrompt(
        asText(headers[names.promptSize]),
        asText(headers[names.promptParts]),
      ),
      session: sessionId,
      model: typeof model === 'string' ? model : undefined,
      lastEventId: readNumber(request, names.lastEventId),
    };
  }

  private noteAccepted(call: IncomingCall): void {
    const {log, belief} = this.options;
    log.write('request_accepted', {
      request: call.id,
      route: call.route.name,
      kind: call.route.kind,
      workspace: call.workspace,
      session: call.session,
      tokens: call.prompt?.tokens,
      configuration: belief.current?.version ?? 0,
      configurationAgeMs: Math.round(belief.ageMs),
      deadlineMs: Math.round(call.deadlineAt - call.acceptedAt),
    });
  }
}

function asText(value: string | string[] | undefined): string | undefined {
  return typeof value === 'string' ? value : undefined;
}

function readNumber(
  request: IncomingMessage,
  name: string,
): number | undefined {
  const text = request.headers[name];
  if (typeof text !== 'string' || text === '') return undefined;
  const value = Number(text);
  return Number.isFinite(value) ? value : undefined;
}
