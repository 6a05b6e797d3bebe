import {request as startRequest} from 'node:http';
import type {Agent, OutgoingHttpHeaders} from 'node:http';
import type {Clock} from '@bayspool/kernel';
import type {HttpResponse} from './http_response.js';

interface Options {
  readonly clock: Clock;
  readonly agent: Agent;
  /** IP:PORT. */
  readonly address: string;
  readonly method: string;
  /** Path with its query. */
  readonly path: string;
  readonly headers?: OutgoingHttpHeaders;
  readonly body?: string | Buffer;
  /** Time until the whole answer has to be there, in ms. */
  readonly timeoutMs: number;
}

/** Sends a request to a peer or the store; rejects when the whole answer does not come in time. */
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
    outgoing.once('error', fail);
    outgoing.once('response', answer => {
      const chunks: Buffer[] = [];
      answer.on('data', (chunk: Buffer) => chunks.push(chunk));
      answer.once('error', fail);
      answer.once('end', () => {
        timer.cancel();
        resolve({status: answer.statusCode ?? 0, body: Buffer.concat(chunks)});
      });
    });
    outgoing.end(body);
  });
}
