import {afterReads} from '@bayspool/kernel';
import type {Clock, Timer} from '@bayspool/kernel';
import type {RunnerChoice} from '../runners/runner_choice.js';
import type {CallerResponse} from './caller_response.js';
import type {IncomingCall} from './incoming_call.js';
import {silenceTimeout} from './silence_timeout.js';

interface Options {
  readonly clock: Clock;
  readonly call: IncomingCall;
  readonly choice: RunnerChoice;
  readonly caller: CallerResponse;
  /** Whether the attempt has relayed an event. */
  readonly hasEvents: () => boolean;
  /** Whether this host does not read the response at present. */
  readonly isReadingPaused: () => boolean;
  /** Called at each check while the silence exceeds its timeout. */
  readonly onSilent: () => void;
}

/** Minimum time between two checks, in ms. */
const MIN_CHECK_INTERVAL_MS = 50;

/** Tracks the progress of one attempt, and detects when its runner has stopped sending. */
export class SilenceDetector {
  private timer: Timer | undefined;
  private progressAt: number;
  /** When the first bytes of the part arrived that is not complete yet; undefined if there is none. */
  private partStartedAt: number | undefined;
  private isPartOverdue = false;

  constructor(private readonly options: Options) {
    this.progressAt = options.clock.now();
  }

  /** When the attempt last received anything, or else when it started, on this host's clock. */
  get lastProgressAt(): number {
    return this.progressAt;
  }

  /** Starts the periodic checks. */
  start(): void {
    const {clock, call, onSilent} = this.options;
    const shortestMs = silenceTimeout.shortestMs(call.route);
    if (shortestMs === Infinity) return;
    const dueMs = this.progressAt + shortestMs - clock.now();
    const delayMs = Math.max(MIN_CHECK_INTERVAL_MS, dueMs);
    this.timer = afterReads(clock, delayMs, () => {
      this.start();
      if (this.isSilent()) onSilent();
    });
  }

  /** Stops the periodic checks. */
  stop(): void {
    this.timer?.cancel();
  }

  /** Records that the runner sent something. */
  recordProgress(): void {
    this.progressAt = this.options.clock.now();
    this.options.choice.runner.noteBytes();
  }

  /**
   * Records bytes of a part of the response, which is an event or a buffered body. If the part takes longer than the
   * runner may be silent, they are no progress: bytes without end would otherwise keep the call at this runner.
   */
  recordBytes(): void {
    const now = this.options.clock.now();
    this.partStartedAt ??= now;
    const partMs = now - this.partStartedAt;
    this.isPartOverdue =
      partMs > silenceTimeout.shortestMs(this.options.call.route);
    const {runner} = this.options.choice;
    if (this.isPartOverdue) runner.noteBytes();
    else this.recordProgress();
  }

  /** Leaves out a pause of the reading, which has just ended. */
  excludePause(pausedMs: number): void {
    this.progressAt = this.options.clock.now();
    if (this.partStartedAt !== undefined) this.partStartedAt += pausedMs;
  }

  /** Records that a part of the response is complete. */
  recordPartComplete(): void {
    this.partStartedAt = undefined;
    if (!this.isPartOverdue) return;
    this.isPartOverdue = false;
    this.recordProgress();
  }

  private isSilent(): boolean {
    const {clock, call, caller, choice, hasEvents, isReadingPaused} =
      this.options;
    const now = clock.now();
    const {runner} = choice;
    if (caller.needsDrain || isReadingPaused()) {
      // Nothing that the runner sends now could be passed on.
      this.progressAt = now;
      return false;
    }
    return silenceTimeout.hasExpired(call.route, runner, {
      silentMs: now - this.progressAt,
      longestPauseMs: caller.longestPauseMs,
      hasEvents: hasEvents() || this.isPartOverdue,
      expectedLatencyMs: choice.workMs + runner.totalPendingMs,
      expectedStallMs: runner.totalPendingMs * runner.slowness,
    });
  }
}
