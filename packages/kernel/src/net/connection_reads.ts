import type {Clock} from '../clock/clock.js';
import {finishTurn} from './finish_turn.js';

interface Options {
  /** A clock whose ages are never too low, also after a suspension of the machine. */
  readonly clock: Clock;
}

/** Age up to which knowledge of a peer is used, in ms: a fraction of the time within which work for it has to end. */
const MAX_AGE_MS = 50;

/**
 * Tells how old a process's knowledge of its connections is. The event loop reads what the kernel has received once a
 * turn, the end of a connection only in the turn behind its last bytes; until then a peer that has left looks present.
 */
export class ConnectionReads {
  private readAt = -Infinity;
  private isWatching = false;

  constructor(private readonly options: Options) {}

  /** Time since all connections were last known to be read, in ms: an upper bound. */
  get ageMs(): number {
    return this.options.clock.now() - this.readAt;
  }

  /**
   * Waits until everything has been read that the kernel had received before this call, and lets the caller go on only
   * while that is recent. Where turns have much to do, those that wait go on in the order of their calls, some each turn.
   */
  async refresh(): Promise<void> {
    await this.finishTurn();
    do await this.finishTurn();
    while (this.ageMs > MAX_AGE_MS);
  }

  /** Like {@link refresh}, unless all connections were read a moment ago. */
  async ensureRecent(): Promise<void> {
    if (this.ageMs > MAX_AGE_MS) await this.refresh();
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

  /** Waits until this turn of the event loop has read what it can. */
  private finishTurn(): Promise<void> {
    this.watch();
    return finishTurn();
  }
}
