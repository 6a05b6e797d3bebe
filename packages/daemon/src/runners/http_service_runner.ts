import type {IncomingMessage} from 'node:http';
import {PassThrough, pipeline, type Readable} from 'node:stream';
import {
  RunnerFailure,
  type ServiceRunner,
  type ServiceResponse,
  type ServiceRequest,
} from '@bayspool/decisions';
import {ConnectionEnd, isSelfDelimited} from '@bayspool/kernel';
import got, {type Method} from 'got';
import {isConnectFailure} from './is_connect_failure.js';

interface Options {
  readonly id: string;
  readonly service: string;
  readonly place: string;
  readonly endpoint: string;
  readonly connectTimeoutMs: number;
  readonly stallTimeoutMs: number;
}

/**
 * A runner of a plain service that is called over HTTP. Every call opens its own
 * connection: a reused one can be closed while a request is being sent, which
 * leaves it unknown whether the request arrived.
 */
export class HttpServiceRunner implements ServiceRunner {
  readonly id: string;
  readonly service: string;
  readonly place: string;

  constructor(private readonly options: Options) {
    this.id = options.id;
    this.service = options.service;
    this.place = options.place;
  }

  call(
    request: ServiceRequest,
    signal: AbortSignal,
  ): Promise<ServiceResponse<Readable>> {
    const stream = got.stream(
      `http://${this.options.endpoint}${request.path}`,
      {
        method: request.method as Method,
        headers: {...request.headers, 'bayspool-request-id': request.requestId},
        body: request.body.length > 0 ? request.body : undefined,
        retry: {limit: 0},
        throwHttpErrors: false,
        followRedirect: false,
        decompress: false,
        timeout: {
          connect: this.options.connectTimeoutMs,
          socket: this.options.stallTimeoutMs,
        },
        signal,
      },
    );
    return new Promise((resolve, reject) => {
      stream.once('response', (response: IncomingMessage) => {
        resolve({
          status: response.statusCode ?? 0,
          headers: response.headers as ServiceResponse<Readable>['headers'],
          body: isSelfDelimited(response, request.method)
            ? stream
            : this.requireOrderlyEnd(stream, response),
        });
      });
      stream.on('error', error => reject(this.toFailure(error)));
    });
  }

  /** Returns a body that fails if the connection, whose end is that of the body, was reset. */
  private requireOrderlyEnd(
    body: Readable,
    response: IncomingMessage,
  ): Readable {
    const end = new ConnectionEnd(response.socket);
    const checked = new PassThrough({
      flush: done =>
        done(end.wasOrderly ? null : this.toFailure(new Error('reset'))),
    });
    return pipeline(body, checked, () => undefined);
  }

  private toFailure(error: Error): RunnerFailure {
    return new RunnerFailure({
      message: `runner ${this.id} failed: ${error.message}`,
      mayHaveRun: !isConnectFailure(error),
      cause: error,
    });
  }
}
