/** Time from one connect to a runner to the next, in ms; it doubles with each up to the maximum. */
const INTERVAL_MS = 1_000;
const MAX_INTERVAL_MS = 8_000;

/** The connects that ask whether a silent runner is still there: their results, and when the next one is due. */
export class ConnectHistory {
  private nextAt = -Infinity;
  private count = 0;
  private connecting = false;
  private lastAcceptedAt = -Infinity;
  private refused = 0;
  private unanswered = 0;

  /** Whether a connect is under way. */
  get isConnecting(): boolean {
    return this.connecting;
  }

  /** When a connect was last accepted; -Infinity if none was. */
  get acceptedAt(): number {
    return this.lastAcceptedAt;
  }

  /** Connects in a row that were refused. */
  get refusedCount(): number {
    return this.refused;
  }

  /** Connects in a row without a reply. */
  get unansweredCount(): number {
    return this.unanswered;
  }

  /** Whether the time for another connect has come. */
  isDue(now: number): boolean {
    return !this.connecting && now >= this.nextAt;
  }

  /** Records that a connect begins. */
  recordStarted(): void {
    this.connecting = true;
  }

  /** Records that a connect has ended; the next one is due after a longer pause than this one was. */
  recordEnded(now: number): void {
    this.connecting = false;
    const intervalMs = INTERVAL_MS * 2 ** this.count;
    this.count += 1;
    this.nextAt = now + Math.min(MAX_INTERVAL_MS, intervalMs);
  }

  recordAccepted(now: number): void {
    this.lastAcceptedAt = now;
    this.refused = 0;
    this.unanswered = 0;
  }

  recordRefused(): void {
    this.refused += 1;
    this.unanswered = 0;
  }

  recordUnanswered(): void {
    this.unanswered += 1;
  }

  /** Sets when the next connect is due. */
  scheduleAt(time: number): void {
    this.nextAt = time;
  }

  /** Begins anew, as the runner has been heard of; what it accepted stays known. */
  reset(): void {
    this.count = 0;
    this.refused = 0;
    this.unanswered = 0;
    if (!this.connecting) this.nextAt = -Infinity;
  }
}
