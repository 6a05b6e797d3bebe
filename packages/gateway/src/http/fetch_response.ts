import {request as startRequest} from 'node:http';
import type {Agent, OutgoingHttpHeaders} from 'node:http';
import {ConnectionEnd, isSelfDelimited} from '@bayspool/kernel';
import type {Clock} from '@bayspool/kernel';
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
}

/** Sends a request to a peer or the store; rejects if the complete response does not arrive in time. */
export function fetchResponse(options: Options): Promise<HttpResponse> {
  const {clock, agent, address, method, path, body, timeoutMs} = options;
  const [host, port] = address.split(':');
  const length =
    body === undefined ? {} : {'content-length': Buffer.byteLength(body)};
  const headers = {...options.headers, ...length};
  return new Promise((resolve, reject) => {
    const outgoing = startRequest({agent, host, port, method, path, headers});
    const timer = clock.after(timeoutMs, () =>
      outgoing.destroy(new Error(`no answer within ${timeoutMs} ms`)),
    );
    const fail = (error: Error) => {
      timer.cancel();
      reject(error);
    };
    outgoing.on('error', fail);
    outgoing.once('response', response => {
      const chunks: Buffer[] = [];
      response.on('data', (chunk: Buffer) => chunks.push(chunk));
      const end = isSelfDelimited(response, method)
        ? undefined
        : new ConnectionEnd(response.socket);
      response.once('error', fail);
      response.once('end', () => {
        timer.cancel();
        if (end && !end.wasOrderly)
          return reject(new Error('the connection was reset'));
        resolve({
          status: response.statusCode ?? 0,
          body: Buffer.concat(chunks),
        });
      });
    });
    outgoing.end(body);
  });
}
