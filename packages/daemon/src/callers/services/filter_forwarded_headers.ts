/** Headers that apply to one connection or to the router itself and are not forwarded. */
const UNFORWARDED_HEADERS = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'te',
  'trailer',
  'trailers',
  'transfer-encoding',
  'upgrade',
  'host',
  'content-length',
  'expect',
  'authorization',
  'idempotency-key',
]);
const ROUTER_HEADER_PREFIX = 'bayspool-';

/** Returns the headers of a request or response that the router forwards. */
export function filterForwardedHeaders<T extends string | string[]>(
  headers: Readonly<Record<string, T>>,
): Record<string, T> {
  const named = String(headers.connection ?? '')
    .split(',')
    .map(name => name.trim().toLowerCase());
  return Object.fromEntries(
    Object.entries(headers).filter(([name, value]) => {
      const key = name.toLowerCase();
      return (
        value !== undefined &&
        !UNFORWARDED_HEADERS.has(key) &&
        !key.startsWith(ROUTER_HEADER_PREFIX) &&
        !named.includes(key)
      );
    }),
  );
}
