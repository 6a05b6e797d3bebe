import type {IncomingMessage} from 'node:http';

/** Statuses whose responses end with their headers (RFC 9112, 6.3). */
const NO_CONTENT = 204;
const NOT_MODIFIED = 304;

/**
 * Whether the end of a response is given by a length or by chunks, rather than by the close of its
 * connection.
 */
export function isSelfDelimited({
  headers,
  statusCode,
}: IncomingMessage): boolean {
  return (
    headers['content-length'] !== undefined ||
    headers['transfer-encoding'] !== undefined ||
    statusCode === NO_CONTENT ||
    statusCode === NOT_MODIFIED
  );
}
