import type {IncomingMessage} from 'node:http';

/** Idle timeout assumed for a runner's connections if its responses name none, in s. */
const DEFAULT_SECONDS = 5;

/** Reads for how many seconds the sender of a response keeps an idle connection open. */
export function readKeepAliveSeconds(response: IncomingMessage): number {
  const text = response.headers['keep-alive'];
  const seconds = /timeout=(\d+)/.exec(String(text ?? ''))?.[1];
  return seconds === undefined ? DEFAULT_SECONDS : Number(seconds);
}
