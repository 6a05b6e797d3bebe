import type {ServerResponse} from 'node:http';

interface Options {
  readonly response: ServerResponse;
  /** Called once with the number of bytes that the caller has not taken; has to close the connection. */
  readonly onExpired: (unsentBytes: number) => void;
}

/**
 * Time within which a caller has to take some bytes of a response that waits for it, in ms; the socket lets up to twice
 * this time pass after a large write of which a part was taken. A caller that reads nothing takes up memory for no longer.
 */
const UNREAD_TIMEOUT_MS = 5_000;

/** Gives up a response of which the caller takes nothing, also after the call has ended. */
export function startUnreadResponseTimeout({
  response,
  onExpired,
}: Options): void {
  response.setTimeout(UNREAD_TIMEOUT_MS, () => {
    const isWaiting = response.writableNeedDrain || response.writableEnded;
    if (!isWaiting || response.writableFinished) return;
    onExpired(response.writableLength);
  });
}
