import {Agent} from 'node:http';
import got, {type Got} from 'got';
import {limitDownload} from '../http/limit_download.js';

interface Options {
  /** Such as `127.0.0.1:9000`. */
  readonly endpoint: string;
  readonly timeoutMs: number;
}

const MAX_SOCKETS = 64;
/** Maximum size of a response, in bytes. */
const MAX_RESPONSE_BYTES = 16_777_216;

/** Creates a JSON client for one service with keep-alive connections and no automatic retries. */
export function createHttpClient(options: Options): Got {
  const agent = new Agent({keepAlive: true, maxSockets: MAX_SOCKETS});
  return got.extend({
    prefixUrl: `http://${options.endpoint}`,
    agent: {http: agent},
    retry: {limit: 0},
    timeout: {request: options.timeoutMs},
    responseType: 'json',
    followRedirect: false,
    handlers: [limitDownload({maxBytes: MAX_RESPONSE_BYTES})],
  });
}
