import {randomUUID} from 'node:crypto';
import {Outcome, RequestFailure} from '@bayspool/decisions';
import {
  CallerDepartures,
  ConnectionReads,
  Problem,
  ProblemKind,
  sleep,
  type Clock,
  type Logger,
  type Metrics,
  type RequestPacer,
  type Service,
  type Tracing,
} from '@bayspool/kernel';
import express, {type Express, type Request, type Response} from 'express';
import type {Counter, Histogram} from 'prom-client';
import type {ConfigurationStore} from '../configuration/configuration_store.js';
import {createHealthRouter} from '../create_health_router.js';
import {HttpServer} from '../http_server.js';
import type {LeavingState} from '../leaving/leaving_state.js';
import type {CallResponse} from './call_response.js';
import {callerHeaders} from './caller_headers.js';
import {createErrorResponse} from './create_error_response.js';
import type {AdmissionController} from './admission_controller.js';
import type {RawCall} from './raw_call.js';
import {sendResponse} from './send_response.js';

interface Options {
  readonly endpoint: string;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly tracing: Tracing;
  readonly store: ConfigurationStore;
  readonly leaving: LeavingState;
  readonly admissionController: AdmissionController;
  /** The largest accepted body, in bytes. */
  readonly maxBodyBytes: number;
  readonly maxHeaderBytes: number;
  readonly pacer: RequestPacer;
  readonly maxConnections: number;
  readonly headersTimeoutMs: number;
  readonly requestTimeoutMs: number;
  /** How long a shutdown waits for running requests, in ms. */
  readonly drainTimeoutMs: number;
}

/** Label of requests whose callers left before they got a response. */
const NO_STATUS = 'none';

/** The HTTP server for callers. */
export class CallerServer implements Service {
  readonly name = 'caller door';
  private readonly server: HttpServer;
  private readonly departures = new CallerDepartures();
  private readonly connectionReads: ConnectionReads;
  private readonly requestsTotal: Counter<'kind' | 'status' | 'outcome'>;
  private readonly requestSeconds: Histogram<'kind'>;
  private openRequests = 0;
  address = '';

  constructor(private readonly options: Options) {
    const {clock, metrics, endpoint} = options;
    this.connectionReads = new ConnectionReads({clock});
    this.requestsTotal = metrics.counter(
      'requests_total',
      "Callers' requests.",
      ['kind', 'status', 'outcome'],
    );
    this.requestSeconds = metrics.seconds(
      'request_duration_seconds',
      'Time to the end of the answer.',
      ['kind'],
    );
    metrics.observe(
      'requests_open',
      "Callers' requests in progress.",
      () => this.openRequests,
    );
    this.server = new HttpServer({
      ...options,
      listener: this.createApp(),
      endpoint,
      setting: '[callers] listen',
    });
    this.server.onBadRequest((error, write) =>
      write(formatRawErrorResponse(error)),
    );
  }

  async start(): Promise<void> {
    this.address = await this.server.start();
    this.options.logger.info('listening', {
      door: 'caller',
      address: this.address,
    });
  }

  /** Waits for running requests to finish; new connections are rejected at once. */
  async stop(): Promise<void> {
    const {clock, drainTimeoutMs, logger} = this.options;
    const stopped = this.server.stop();
    const drainTimer = new AbortController();
    const timedOut = sleep(clock, drainTimeoutMs, drainTimer.signal).then(
      () => 'late',
    );
    const first = await Promise.race([stopped, timedOut]);
    drainTimer.abort();
    if (first !== 'late') return;
    logger.warn('requests still open at the end of the drain were cut', {
      open: this.openRequests,
    });
    this.server.destroy();
    await stopped;
  }

  private createApp(): Express {
    const {options} = this;
    const app = express();
    app.disable('x-powered-by');
    app.disable('etag');
    app.use(createHealthRouter(options));
    app.use(express.raw({type: () => true, limit: options.maxBodyBytes}));
    app.use((request, response) => this.handleRequest(request, response));
    app.use(
      (
        error: Error & {status?: number},
        _request: Request,
        response: Response,
        _next: unknown,
      ) => {
        if (!response.headersSent)
          void sendResponse(
            response,
            createErrorResponse(
              createBodyProblem(error, options.maxBodyBytes),
              randomUUID(),
            ),
          );
      },
    );
    return app;
  }

  private async handleRequest(
    request: Request,
    response: Response,
  ): Promise<void> {
    const {clock, tracing, logger} = this.options;
    const id = randomUUID();
    const kind = classifyPath(request.path);
    const startedAt = clock.now();
    const disconnected = new AbortController();
    this.departures.watch(request, response, () => disconnected.abort());
    await this.connectionReads.refresh();
    if (disconnected.signal.aborted)
      return this.recordLeft(id, kind, clock.now() - startedAt);
    const span = tracing.start(
      'caller door',
      tracing.extract(request.headers),
      {request_id: id, kind},
    );
    const trace = tracing.under(span);
    this.openRequests++;
    let answer: CallResponse;
    try {
      answer = await this.options.admissionController.handle(
        createRawCall(request, {id, signal: disconnected.signal, trace}),
      );
    } catch (error) {
      answer = createErrorResponse(error, id);
      if (
        answer.status >= 500 &&
        !(error instanceof Problem) &&
        !(error instanceof RequestFailure)
      ) {
        logger.error('request failed', {
          requestId: id,
          error: error instanceof Error ? error.stack : String(error),
        });
      }
    }
    if (this.options.leaving.isLeaving()) response.set('connection', 'close');
    const whole = await sendResponse(response, answer, id);
    this.openRequests--;
    const outcome = String(
      answer.headers[callerHeaders.outcome] ?? Outcome.RAN,
    );
    const durationMs = clock.now() - startedAt;
    this.requestsTotal.inc({kind, status: answer.status, outcome});
    this.requestSeconds.observe({kind}, durationMs / 1_000);
    logger.info('request', {
      requestId: id,
      traceId: span.spanContext().traceId,
      kind,
      status: answer.status,
      outcome,
      whole,
      version: answer.headers[callerHeaders.version],
      durationMs: Math.round(durationMs),
    });
    span.end();
  }

  /** Records that the caller had left when its request was read; nothing was done for it. */
  private recordLeft(requestId: string, kind: string, forMs: number): void {
    const outcome = Outcome.NOT_RUN;
    this.requestsTotal.inc({kind, status: NO_STATUS, outcome});
    const durationMs = Math.round(forMs);
    this.options.logger.info('caller left', {requestId, kind, durationMs});
  }
}

function createRawCall(
  request: Request,
  known: Pick<RawCall, 'id' | 'signal' | 'trace'>,
): RawCall {
  return {
    ...known,
    method: request.method,
    path: request.originalUrl,
    headers: Object.fromEntries(
      Object.entries(request.headers).map(([name, value]) => [
        name,
        Array.isArray(value) ? value.join(', ') : String(value),
      ]),
    ),
    body: Buffer.isBuffer(request.body) ? request.body : Buffer.alloc(0),
  };
}

/** Maps a path to one of a fixed set of metric labels. */
function classifyPath(path: string): string {
  if (path === '/v1/chat/completions') return 'completion';
  if (path === '/v1/models') return 'models';
  if (path === '/v1/tickets') return 'ticket';
  return path.startsWith('/services/') ? 'service' : 'other';
}

function createBodyProblem(
  error: Error & {status?: number},
  most: number,
): Problem {
  if (error.status === 413) {
    return new Problem({
      kind: ProblemKind.TOO_LARGE,
      what: `the body is larger than ${most} bytes`,
      remedy: 'send less at once',
    });
  }
  return new Problem({
    kind: ProblemKind.BAD_REQUEST,
    what: 'the request cannot be read',
    remedy: 'send the whole body, without compression or with gzip',
    cause: error,
  });
}

/** Formats the response to bytes that are not a valid request; there is no response object to write to. */
function formatRawErrorResponse(error: NodeJS.ErrnoException): string {
  const tooLarge = error.code === 'HPE_HEADER_OVERFLOW';
  const slow = error.code === 'ERR_HTTP_REQUEST_TIMEOUT';
  const status = tooLarge
    ? '431 Request Header Fields Too Large'
    : slow
      ? '408 Request Timeout'
      : '400 Bad Request';
  const problem = new Problem({
    kind: ProblemKind.BAD_REQUEST,
    what: tooLarge
      ? 'the headers are too large'
      : slow
        ? 'the request came too slowly'
        : 'this is not an HTTP request',
    remedy: tooLarge
      ? 'send fewer and shorter headers'
      : 'send the request whole and at once',
  });
  const answer = createErrorResponse(problem, randomUUID());
  const headers = Object.entries(answer.headers).map(
    ([name, value]) => `${name}: ${value}\r\n`,
  );
  const body = (answer.body as Buffer).toString();
  return `HTTP/1.1 ${status}\r\n${headers.join('')}connection: close\r\ncontent-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`;
}
