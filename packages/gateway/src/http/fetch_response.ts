import {request as startRequest} from 'node:http';
import type {Agent, OutgoingHttpHeaders} from 'node:http';
import type {Socket} from 'node:net';
import {
  afterReads,
  BoundedBuffer,
  ConnectionEnd,
  isSelfDelimited,
} from '@bayspool/kernel';
import type {Clock} from '@bayspool/kernel';
import {FramingGuard} from '../runners/framing_guard.js';
import type {HttpResponse} from './http_response.js';

interface Options {
  readonly clock: Clock;
  readonly agent: Agent;
  /** IP:PORT. */
  readonly address: string;
  readonly method: string;
  /** Path and query string. */
  readonly path: string;
  readonly headers?: OutgoingHttpHeaders;
  readonly body?: string | Buffer;
  /** Time within which the complete response must arrive, in ms. */
  readonly timeoutMs: number;
  /** Maximum size of the body of the response, in bytes. */
  readonly maxBodyBytes?: number;
}

/** Default maximum size of the body of a response, in bytes: sixteen times the largest read that the store is asked for. */
const MAX_BODY_BYTES = 16_777_216;

/** Closes a connection on which bytes arrive between two responses. */
function closeOnExcess(this: Socket): void {
  this.destroy();
}

/**
 * Sends a request to a peer or the store; rejects, and closes the connection, if the complete response does not arrive
 * in time or is too large.
 */
export function fetchResponse(options: Options): Promise<HttpResponse> {
  const {clock, agent, address, method, path, body, timeoutMs} = options;
  const {maxBodyBytes: maxBytes = MAX_BODY_BYTES} = options;
  const [host, port] = address.split(':');
  const length =
    body === undefined ? {} : {'content-length': Buffer.byteLength(body)};
  const headers = {...options.headers, ...length};
  return new Promise((resolve, reject) => {
    const outgoing = startRequest({agent, host, port, method, path, headers});
    const buffer = new BoundedBuffer({maxBytes});
    let framing: FramingGuard | undefined;
    let connection: Socket | undefined;
    const timer = afterReads(clock, timeoutMs, () =>
      abort(new Error(`no answer within ${timeoutMs} ms`)),
    );
    const settle = () => {
      timer.cancel();
      framing?.stop();
    };
    const fail = (error: Error) => {
      settle();
      // What was collected is given back here: the closed connection may hold this response for some time.
      buffer.take();
      reject(error);
    };
    const abort = (error: Error) => {
      fail(error);
      outgoing.destroy(error);
    };
    outgoing.on('error', fail);
    outgoing.once('socket', (socket: Socket) => {
      connection = socket;
      socket.off('data', closeOnExcess);
      framing = new FramingGuard({
        socket,
        onExceeded: () =>
          abort(new Error('too many bytes besides the body of a response')),
      });
      framing.start();
    });
    outgoing.once('response', response => {
      response.on('data', (chunk: Buffer) => {
        framing?.recordBody(chunk.length);
        try {
          buffer.append(chunk);
        } catch (error) {
          abort(error as Error);
        }
      });
      const end = isSelfDelimited(response, method)
        ? undefined
        : new ConnectionEnd(response.socket);
      response.once('error', fail);
      response.once('end', () => {
        settle();
        connection?.on('data', closeOnExcess);
        if (end && !end.wasOrderly)
          return reject(new Error('the connection was reset'));
        resolve({status: response.statusCode ?? 0, body: buffer.take()});
      });
    });
    outgoing.end(body);
  });
}
