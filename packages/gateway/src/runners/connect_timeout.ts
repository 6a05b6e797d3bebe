/**
 * Time for a connection to come up, in ms: some ten times the slowest way between two places and back,
 * and far under the second after which a lost opening packet is sent again.
 */
const MIN_TIMEOUT_MS = 100;
/** Longest time that is allowed when connections keep timing out, in ms. */
const MAX_TIMEOUT_MS = 1_600;
/** How many times the last successful time the next one may take. */
const TIMEOUT_FACTOR = 8;

/**
 * How long this host waits for connections. Runners that do not answer one after the other mean that
 * this host's own link is slow: it then waits longer instead of giving all of them up.
 */
export class ConnectTimeout {
  private currentMs = MIN_TIMEOUT_MS;

  /** How long the next connection may take to come up, in ms. */
  get timeoutMs(): number {
    return this.currentMs;
  }

  /** Learns from a connection that came up. */
  noteConnected(tookMs: number): void {
    this.currentMs = Math.min(
      MAX_TIMEOUT_MS,
      Math.max(MIN_TIMEOUT_MS, tookMs * TIMEOUT_FACTOR),
    );
  }

  /** Allows more time after a connection that did not come up. */
  noteTimeout(): void {
    this.currentMs = Math.min(MAX_TIMEOUT_MS, this.currentMs * 2);
  }
}
