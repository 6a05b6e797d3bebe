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
  /** When the last turn was left for the reads of the next one; undefined if turns are not watched. */
  private leftTurnAt: number | undefined;
  private turnEndedAt = -Infinity;
  private isWatching = false;
  /** Whether the next turn is to be watched as well. */
  private isWatchWanted = false;

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
    // Not by the age: where the reads of each turn take longer, none would ever go on.
    do await this.finishTurn();
    while (this.options.clock.now() - this.turnEndedAt > MAX_AGE_MS);
  }

  /** Like {@link refresh}, unless all connections were read a moment ago. */
  async ensureRecent(): Promise<void> {
    if (this.ageMs > MAX_AGE_MS) await this.refresh();
  }

  /** Notes when the connections are read that can be read in the next turns of the event loop. */
  watch(): void {
    this.isWatchWanted = true;
    if (!this.isWatching) this.watchTurn();
  }

  /** Runs behind the reads of each turn. They came behind the end of the turn before, however long this one stood still. */
  private watchTurn(): void {
    this.isWatching = true;
    this.isWatchWanted = false;
    setImmediate(() => {
      const {leftTurnAt} = this;
      this.turnEndedAt = this.leftTurnAt = this.options.clock.now();
      if (leftTurnAt !== undefined) this.readAt = leftTurnAt;
      if (this.isWatchWanted || leftTurnAt === undefined)
        return this.watchTurn();
      this.isWatching = false;
      this.leftTurnAt = undefined;
    });
  }

  /** Waits until this turn of the event loop has read what it can. */
  private async finishTurn(): Promise<void> {
    this.watch();
    await finishTurn();
    if (this.isWatching) this.leftTurnAt = this.options.clock.now();
  }
}
