import type {IncomingMessage} from 'node:http';

/** Time that a runner keeps resting connections when it does not say, in s. */
const DEFAULT_SECONDS = 5;

/** For how many seconds the sender of an answer keeps the connection at rest. */
export function readKeepAliveSeconds(answer: IncomingMessage): number {
  const text = answer.headers['keep-alive'];
  const seconds = /timeout=(\d+)/.exec(String(text ?? ''))?.[1];
  return seconds === undefined ? DEFAULT_SECONDS : Number(seconds);
}
