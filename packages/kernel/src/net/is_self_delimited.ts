import type {IncomingMessage} from 'node:http';

/** Statuses whose responses end with their headers (RFC 9112, 6.3). */
const NO_CONTENT = 204;
const NOT_MODIFIED = 304;

/**
 * Whether the end of a response is given by its headers or by chunks, rather than by the close of its
 * connection.
 *
 * @param method that of the request
 */
export function isSelfDelimited(
  {headers, statusCode}: IncomingMessage,
  method: string,
): boolean {
  return (
    headers['content-length'] !== undefined ||
    headers['transfer-encoding'] !== undefined ||
    method === 'HEAD' ||
    statusCode === NO_CONTENT ||
    statusCode === NOT_MODIFIED
  );
}
