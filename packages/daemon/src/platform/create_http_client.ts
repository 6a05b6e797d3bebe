import {Agent} from 'node:http';
import got, {type Got} from 'got';

interface Options {
  /** As `127.0.0.1:9000`. */
  readonly endpoint: string;
  readonly timeoutMs: number;
}

const MAX_SOCKETS = 64;

/** A client for one service: kept-alive connections, no hidden retries, JSON. */
export function createHttpClient(options: Options): Got {
  const agent = new Agent({keepAlive: true, maxSockets: MAX_SOCKETS});
  return got.extend({
    prefixUrl: `http://${options.endpoint}`,
    agent: {http: agent},
    retry: {limit: 0},
    timeout: {request: options.timeoutMs},
    responseType: 'json',
    followRedirect: false,
  });
}
