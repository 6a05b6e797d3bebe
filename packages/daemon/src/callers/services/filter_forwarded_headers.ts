/** Headers that belong to one connection, or to the door itself, and are not passed on. */
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

/** The headers of a request or answer that pass the router. */
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
