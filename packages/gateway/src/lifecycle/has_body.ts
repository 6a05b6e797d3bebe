import type {IncomingMessage} from 'node:http';

const NO_BODY = '0';

/** Whether a request announces a body. */
export function hasBody({headers}: IncomingMessage): boolean {
  const {'content-length': length = NO_BODY} = headers;
  return length !== NO_BODY || headers['transfer-encoding'] !== undefined;
}
