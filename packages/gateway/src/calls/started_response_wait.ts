import {sleep} from '@bayspool/kernel';
import type {Clock, RandomSource} from '@bayspool/kernel';
import type {EventLog} from '../observability/event_log.js';
import type {CallProgress} from './call_progress.js';
import type {CallRejection} from './call_rejection.js';

interface Options {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: EventLog;
}

/** Time that has to be left for the rest of the response after the wait, in ms. */
const MIN_REMAINING_MS = 100;
/** Maximum jitter added to a wait, in ms, so that responses that wait for one runner do not all resume at once. */
const MAX_JITTER_MS = 100;

/** Maximum share of the remaining time to wait while a runner that has failed the call could take it now. */
const MAX_SHARE_WITH_CHOICE = 0.5;

/**
 * Lets a started response wait for a runner. Without one, a call that has not started is rejected and its
 * caller told when to return; a started response would be lost with the part that the caller has.
 */
export class StartedResponseWait {
  constructor(private readonly options: Options) {}

  /**
   * Waits until a runner may take the call, or the call ends.
   *
   * @param hasChoice whether a runner that has failed the call could take it now
   * @returns false at once if no runner will in time
   */
  async waitForRunner(
    {call}: CallProgress,
    {reason, minRetryMs}: CallRejection,
    hasChoice: boolean,
    signal: AbortSignal,
  ): Promise<boolean> {
    const {clock, random, log} = this.options;
    if (minRetryMs === undefined) return false;
    const waitMs = minRetryMs + random.next() * MAX_JITTER_MS;
    const leftMs = call.deadlineAt - clock.now();
    const maxWaitMs = hasChoice ? leftMs * MAX_SHARE_WITH_CHOICE : leftMs;
    if (waitMs + MIN_REMAINING_MS > maxWaitMs) return false;
    log.write('request_waits', {
      request: call.id,
      reason,
      waitMs: Math.round(waitMs),
      leftMs: Math.round(leftMs),
    });
    await sleep(clock, waitMs, signal);
    return true;
  }
}
