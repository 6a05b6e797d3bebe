import type {IncomingHttpHeaders} from 'node:http';
import type {Readable} from 'node:stream';
import {
  RunnerFailure,
  type CacheEvent,
  type GenerateEvent,
  type GenerateRequest,
  type RunnerOrder,
  type Runner,
  type RunnerReport,
} from '@bayspool/decisions';
import {collectBounded, MessageSize} from '@bayspool/kernel';
import {createParser} from 'eventsource-parser';
import got, {HTTPError, type Got} from 'got';
import {Agent, request as undiciRequest, type Dispatcher} from 'undici';
import {z} from 'zod';
import {limitDownload} from '../http/limit_download.js';
import {closeRefusedConnections} from './close_refused_connections.js';
import {isConnectFailure} from './is_connect_failure.js';
import {parseEngineChunk} from './parse_engine_chunk.js';

interface Options {
  readonly id: string;
  readonly place: string;
  /** Host and port, such as `10.0.0.7:9000`. */
  readonly endpoint: string;
  readonly connectTimeoutMs: number;
  /** A response that stays silent for this long is treated as interrupted, in ms. */
  readonly stallTimeoutMs: number;
}

const REFUSAL_HEADER = 'x-engine-refused';
const BUSY_REFUSAL = 'busy';
const END_OF_STREAM = '[DONE]';
const MAX_SOCKETS = 2_048;
const OK = 200;
/** Maximum size of a report, of cache events, or of a reply to an order, in bytes. */
const MAX_REPLY_BYTES = 4_194_304;
/** Maximum size of what a stream has between two events that say something, in bytes. */
const MAX_EVENT_BYTES = 1_048_576;
/** Maximum size of the rest of a response that is not used, in bytes. */
const MAX_REST_BYTES = 65_536;

const reportSchema = z.object({
  running: z.number(),
  waiting: z.number(),
  slots: z.number().positive(),
  versions: z.array(z.string()),
  checksOrders: z.boolean(),
  versionSlots: z.number(),
});
const cacheEventsSchema = z.array(
  z.object({
    position: z.int(),
    kind: z.enum(['stored', 'evicted']),
    prefix: z.string(),
  }),
);

/** A model engine that is called over HTTP in the OpenAI format. */
export class HttpRunner implements Runner {
  readonly id: string;
  readonly place: string;
  private readonly http: Got;
  /** Connections for streamed responses. `got` took twice the CPU time per token: see docs/HOUSE-STYLE.md. */
  private readonly streamAgent: Dispatcher;
  private readonly completionsUrl: string;

  constructor(private readonly options: Options) {
    this.id = options.id;
    this.place = options.place;
    this.http = got.extend({
      prefixUrl: `http://${options.endpoint}`,
      retry: {limit: 0},
      followRedirect: false,
      timeout: {connect: options.connectTimeoutMs},
      handlers: [limitDownload({maxBytes: MAX_REPLY_BYTES})],
    });
    this.completionsUrl = `http://${options.endpoint}/v1/chat/completions`;
    const agent = new Agent({
      connections: MAX_SOCKETS,
      pipelining: 1,
      connect: {timeout: options.connectTimeoutMs},
      headersTimeout: options.stallTimeoutMs,
      bodyTimeout: options.stallTimeoutMs,
    });
    const readRefusal = (
      status: number,
      {[REFUSAL_HEADER]: refused}: IncomingHttpHeaders,
    ) =>
      refused === undefined
        ? undefined
        : createStatusFailure(this.id, status, refused);
    this.streamAgent = agent.compose(closeRefusedConnections({readRefusal}));
  }

  async *generate(
    request: GenerateRequest,
    signal: AbortSignal,
  ): AsyncGenerator<GenerateEvent> {
    const body = await this.openStream(request, signal);
    const events: GenerateEvent[] = [];
    const parser = createParser({
      onEvent: event => {
        if (event.data !== END_OF_STREAM)
          events.push(...parseEngineChunk(event.data));
      },
    });
    const decoder = new TextDecoder();
    let final: GenerateEvent | undefined;
    let unreported = new MessageSize({maxBytes: MAX_EVENT_BYTES});
    try {
      for await (const chunk of body) {
        unreported.add((chunk as Buffer).length);
        parser.feed(decoder.decode(chunk as Buffer, {stream: true}));
        if (events.length > 0)
          unreported = new MessageSize({maxBytes: MAX_EVENT_BYTES});
        for (const event of events.splice(0)) {
          if (event.kind === 'final') final = event;
          else yield event;
        }
      }
    } catch (error) {
      if (!final) throw toFailure(error, this.id);
    } finally {
      body.destroy();
    }
    // Yielded only after the last byte, so that the connection can be reused.
    if (final) yield final;
  }

  private async getJson(path: string, signal: AbortSignal): Promise<unknown> {
    const {statusCode, body} = await undiciRequest(
      `http://${this.options.endpoint}${path}`,
      {dispatcher: this.streamAgent, signal},
    );
    if (statusCode === OK)
      return JSON.parse(String(await collectBounded(body, MAX_REPLY_BYTES)));
    dropRest(body);
    throw createStatusFailure(this.id, statusCode, undefined);
  }

  /** Sends the request and returns the response body once the engine has accepted it. */
  private async openStream(
    request: GenerateRequest,
    signal: AbortSignal,
  ): Promise<Readable> {
    try {
      const {statusCode, body} = await undiciRequest(this.completionsUrl, {
        method: 'POST',
        headers: {...request.headers, 'content-type': 'application/json'},
        body: JSON.stringify(createBody(request)),
        dispatcher: this.streamAgent,
        signal,
      });
      if (statusCode === OK) return body;
      dropRest(body);
      throw createStatusFailure(this.id, statusCode, undefined);
    } catch (error) {
      throw toFailure(error, this.id);
    }
  }

  async fetchReport(signal: AbortSignal): Promise<RunnerReport> {
    return reportSchema.parse(await this.getJson('/report', signal));
  }

  async fetchCacheEvents(
    after: number,
    signal: AbortSignal,
  ): Promise<CacheEvent[]> {
    return cacheEventsSchema.parse(
      await this.getJson(`/cache-events?after=${after}`, signal),
    );
  }

  async sendOrder(order: RunnerOrder, signal: AbortSignal): Promise<void> {
    const json = {
      version: order.version,
      desired: order.desired,
      fencing_token: order.fencingToken,
    };
    try {
      await this.http.post('orders', {json, signal});
    } catch (error) {
      throw toFailure(error, this.id);
    }
  }
}

/** Reads and drops the rest of a response, so that its connection can be used again; closes it if that is too much. */
function dropRest(body: Dispatcher.ResponseData['body']): void {
  // The outcome of the request is known already.
  body.on('error', () => undefined);
  void body.dump({limit: MAX_REST_BYTES}).catch(() => undefined);
}

function createBody(request: GenerateRequest): object {
  return {
    ...request.body,
    model: request.version,
    stream: true,
    request_id: request.requestId,
    priority: request.priority,
    prefixes: request.prefixes,
    resume: {from: request.resumeFrom, text: request.generatedText},
  };
}

function toFailure(error: unknown, id: string): RunnerFailure {
  if (error instanceof RunnerFailure) return error;
  if (error instanceof HTTPError) {
    const {statusCode, headers} = error.response;
    return createStatusFailure(id, statusCode, headers[REFUSAL_HEADER]);
  }
  return new RunnerFailure({
    message: `runner ${id} failed: ${error instanceof Error ? error.message : error}`,
    mayHaveRun: !isConnectFailure(error),
    cause: error,
  });
}

function createStatusFailure(
  id: string,
  status: number,
  refused: string | string[] | undefined,
): RunnerFailure {
  return new RunnerFailure({
    message: `runner ${id} answered ${status}`,
    mayHaveRun: refused === undefined,
    busy: refused === BUSY_REFUSAL,
  });
}
