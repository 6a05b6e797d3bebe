/**
 * Minimum timeout, in ms: about ten times the slowest round trip between two places, and far less than
 * the second after which a lost SYN is retransmitted.
 */
const MIN_TIMEOUT_MS = 100;
/** Maximum timeout when connections keep timing out, in ms. */
const MAX_TIMEOUT_MS = 1_600;
/** The next timeout as a multiple of the last successful connect time. */
const TIMEOUT_FACTOR = 8;

/**
 * Adaptive timeout for the connections that this host opens. When connects to several runners in a row time
 * out, this host's own link is probably slow. The timeout then grows, so that the host does not give up on all
 * runners.
 */
export class ConnectTimeout {
  private currentMs = MIN_TIMEOUT_MS;

  /** Timeout of the next connect, in ms. */
  get timeoutMs(): number {
    return this.currentMs;
  }

  /** Sets the timeout from the duration of a successful connect. */
  noteConnected(tookMs: number): void {
    this.currentMs = Math.min(
      MAX_TIMEOUT_MS,
      Math.max(MIN_TIMEOUT_MS, tookMs * TIMEOUT_FACTOR),
    );
  }

  /** Doubles the timeout after a connect that timed out. */
  noteTimeout(): void {
    this.currentMs = Math.min(MAX_TIMEOUT_MS, this.currentMs * 2);
  }
}
