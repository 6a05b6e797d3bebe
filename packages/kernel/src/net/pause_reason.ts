/** Why a connection is read no further for now, or closed. */
export const PauseReason = {
  /** It has as many open requests as one may have: their responses have not been taken. */
  OPEN_REQUESTS: 'open requests',
  /** Open requests of all connections take as much memory as they may. */
  REQUEST_MEMORY: 'memory of requests',
  /** Bytes that were read and not parsed take as much memory as they may. */
  UNPARSED_BYTES: 'unparsed bytes',
} as const;
export type PauseReason = (typeof PauseReason)[keyof typeof PauseReason];
