import type {IncomingMessage} from 'node:http';

/** Statuses whose answers end with their headers (RFC 9112, 6.3). */
const NO_CONTENT = 204;
const NOT_MODIFIED = 304;

/** Whether an answer tells its end by a length or chunks, rather than by its connection's end. */
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
