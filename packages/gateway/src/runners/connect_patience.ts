/**
 * Time for a connection to come up, in ms: some ten times the slowest way between two places and back,
 * and far under the second after which a lost opening packet is sent again.
 */
const SHORTEST_MS = 100;
/** Longest time that is allowed when connections keep timing out, in ms. */
const LONGEST_MS = 1_600;
/** How many times the last successful time the next one may take. */
const TIMES = 8;

/**
 * How long this host waits for connections. Runners that do not answer one after the other mean that
 * this host's own link is slow: it then waits longer instead of giving all of them up.
 */
export class ConnectPatience {
  private currentMs = SHORTEST_MS;

  /** How long the next connection may take to come up, in ms. */
  get timeoutMs(): number {
    return this.currentMs;
  }

  /** Learns from a connection that came up. */
  noteConnected(tookMs: number): void {
    this.currentMs = Math.min(
      LONGEST_MS,
      Math.max(SHORTEST_MS, tookMs * TIMES),
    );
  }

  /** Allows more time after a connection that did not come up. */
  noteTimeout(): void {
    this.currentMs = Math.min(LONGEST_MS, this.currentMs * 2);
  }
}
