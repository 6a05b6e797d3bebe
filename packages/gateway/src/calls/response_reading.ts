import type {IncomingMessage} from 'node:http';
import type {Clock} from '@bayspool/kernel';
import type {Runner} from '../runners/runner.js';

interface Options {
  readonly clock: Clock;
  readonly runner: Runner;
  readonly response: IncomingMessage;
  /** Called with the duration of each pause, in ms. */
  readonly onResumed: (pausedMs: number) => void;
}

/** A response that was not read for this long may have been cut for that reason, in ms; runners wait some seconds. */
const MIN_UNREAD_MS = 1_000;

/** Reads a runner's response, with pauses while this host can't pass on or hold more of it. */
export class ResponseReading {
  private pauseCount = 0;
  private pausedAt = 0;
  private endedPausesMs = 0;
  private longestPauseMs = 0;

  constructor(private readonly options: Options) {}

  get isPaused(): boolean {
    return this.pauseCount > 0;
  }

  /** Total time for which nothing was read, in ms. */
  get pausedMs(): number {
    return this.endedPausesMs + this.currentPauseMs;
  }

  /** Whether the response was not read for so long that the runner may have cut it for that. */
  get wasLeftUnread(): boolean {
    const longestMs = Math.max(this.longestPauseMs, this.currentPauseMs);
    return longestMs >= MIN_UNREAD_MS;
  }

  /** Stops reading until {@link resume} has been called as often. */
  pause(): void {
    this.pauseCount += 1;
    if (this.pauseCount > 1) return;
    const {clock, response, runner} = this.options;
    this.pausedAt = clock.now();
    response.pause();
    runner.noteReadingPaused();
  }

  /** Reads on, unless there is another reason for the pause. */
  resume(): void {
    if (this.pauseCount > 1) this.pauseCount -= 1;
    else if (this.endPause()) this.options.response.resume();
  }

  /** Ends the reading, also during a pause. */
  stop(): void {
    this.endPause();
  }

  private get currentPauseMs(): number {
    return this.isPaused ? this.options.clock.now() - this.pausedAt : 0;
  }

  private endPause(): boolean {
    if (!this.isPaused) return false;
    const {runner, onResumed} = this.options;
    const pausedMs = this.currentPauseMs;
    this.pauseCount = 0;
    this.endedPausesMs += pausedMs;
    this.longestPauseMs = Math.max(this.longestPauseMs, pausedMs);
    runner.noteReadingResumed();
    onResumed(pausedMs);
    return true;
  }
}
