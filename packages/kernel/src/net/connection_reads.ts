import type {Clock} from '../clock/clock.js';

interface Options {
  /** A clock whose ages are never too low, also after a suspension of the machine. */
  readonly clock: Clock;
}

/**
 * Tells how old a process's knowledge of its connections is. The event loop reads what the kernel has received once a
 * turn; until it does, a peer that has left looks present, for as long as the turn takes.
 */
export class ConnectionReads {
  private readAt = -Infinity;
  private isWatching = false;

  constructor(private readonly options: Options) {}

  /** Time since all connections were last known to be read, in ms: an upper bound. */
  get ageMs(): number {
    return this.options.clock.now() - this.readAt;
  }

  /** Notes when the connections are read that can be read in this turn of the event loop. */
  watch(): void {
    if (this.isWatching) return;
    this.isWatching = true;
    // Runs behind all reads of the turn.
    setImmediate(() => {
      this.isWatching = false;
      this.readAt = this.options.clock.now();
    });
  }
}
