import {afterReads} from '@bayspool/kernel';
import type {Clock, Timer} from '@bayspool/kernel';
import type {EventLog} from '../observability/event_log.js';
import type {GatewayMetrics} from '../observability/gateway_metrics.js';
import type {CallFinisher} from './call_finisher.js';
import type {CallProgress} from './call_progress.js';
import type {CallerResponse} from './caller_response.js';

interface Options {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: GatewayMetrics;
  readonly finisher: CallFinisher;
  readonly progress: CallProgress;
  readonly caller: CallerResponse;
  /** Aborted when the call is to end; the reason is a short text. */
  readonly signal: AbortSignal;
}

/** Time within which the work on an aborted call has to end, in ms; it takes some turns of the event loop. */
const OVERDUE_MS = 2_000;

/**
 * Waits for the work on a call, which answers its caller. If it goes on although the call was aborted, the call is ended
 * without it, so that no caller waits for work that never ends.
 */
export function awaitCall(
  {clock, log, metrics, finisher, progress, caller, signal}: Options,
  work: Promise<void>,
): Promise<void> {
  return new Promise((resolve, reject) => {
    let timer: Timer | undefined;
    const giveUp = () => {
      const {call, attemptCount: attempts} = progress;
      const reason = String(signal.reason);
      const forMs = Math.round(clock.now() - call.acceptedAt);
      log.write('call_overdue', {request: call.id, reason, attempts, forMs});
      metrics.overdueCalls.inc();
      // The attempt that has not ended may have sent the request.
      progress.mayHaveRun = true;
      try {
        finisher.finishUnanswered(progress, caller, reason);
        resolve();
      } catch (error) {
        reject(error);
      }
    };
    const startTimer = () => {
      timer = afterReads(clock, OVERDUE_MS, giveUp);
    };
    const stopTimer = () => {
      signal.removeEventListener('abort', startTimer);
      timer?.cancel();
    };
    if (signal.aborted) startTimer();
    else signal.addEventListener('abort', startTimer, {once: true});
    work.then(resolve, reject).finally(stopTimer);
  });
}
