import type {IncomingMessage} from 'node:http';

/** The number in a request's header; undefined where it is absent or no number. */
export function readNumberHeader(
  request: IncomingMessage,
  name: string,
): number | undefined {
  const text = request.headers[name];
  if (typeof text !== 'string' || text === '') return undefined;
  const value = Number(text);
  return Number.isFinite(value) ? value : undefined;
}
