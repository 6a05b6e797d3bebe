import type {IncomingMessage} from 'node:http';

/** Reads a number from a request header; undefined if the header is absent or not a number. */
export function readNumberHeader(
  request: IncomingMessage,
  name: string,
): number | undefined {
  const text = request.headers[name];
  if (typeof text !== 'string' || text === '') return undefined;
  const value = Number(text);
  return Number.isFinite(value) ? value : undefined;
}
