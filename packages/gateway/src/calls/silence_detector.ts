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
  /** Whether the attempt has passed on an event. */
  readonly hasEvents: () => boolean;
  /** Whether the call could be sent to another runner if this one falls silent. */
  readonly hasOtherRunner: () => boolean;
  /** Called once, when the runner has been silent for too long. */
  readonly onSilent: () => void;
}

/** Least pause between two looks at whether the runner has fallen silent, in ms. */
const MIN_CHECK_INTERVAL_MS = 50;

/** Follows the progress of one attempt, and tells when its runner has fallen silent. */
export class SilenceDetector {
  private timer: Timer | undefined;
  private progressAt: number;

  constructor(private readonly options: Options) {
    this.progressAt = options.clock.now();
  }

  /** When the attempt last got anything, or else when it began, on this host's clock. */
  get lastProgressAt(): number {
    return this.progressAt;
  }

  /** Looks from now on. */
  start(): void {
    const {clock, call, onSilent} = this.options;
    const shortestMs = silenceTimeout.shortestMs(call.route);
    if (shortestMs === Infinity) return;
    const dueMs = this.progressAt + shortestMs - clock.now();
    this.timer = clock.after(Math.max(MIN_CHECK_INTERVAL_MS, dueMs), () => {
      if (this.isSilent()) onSilent();
      else this.start();
    });
  }

  /** Looks no more. */
  stop(): void {
    this.timer?.cancel();
  }

  /** Notes that the runner sent something. */
  recordProgress(): void {
    this.progressAt = this.options.clock.now();
    this.options.choice.runner.noteBytes();
  }

  private isSilent(): boolean {
    const {clock, call, caller, choice, hasEvents, hasOtherRunner} =
      this.options;
    const now = clock.now();
    const {runner} = choice;
    if (caller.needsDrain) {
      // Nothing is read of the runner while its caller takes nothing.
      this.progressAt = now;
      runner.resetSilence();
      return false;
    }
    const isSilent = silenceTimeout.isTooSilent(call.route, runner, {
      quietMs: now - this.progressAt,
      longestPauseMs: caller.longestPauseMs,
      hasEvents: hasEvents(),
      expectedMs: choice.workMs + runner.totalPendingMs,
    });
    return isSilent && hasOtherRunner();
  }
}
