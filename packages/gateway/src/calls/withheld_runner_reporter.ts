import type {EventLog} from '../observability/event_log.js';
import type {GatewayMetrics} from '../observability/gateway_metrics.js';
import type {RunnerGate} from '../runners/runner_gate.js';
import type {WithheldRunner} from '../runners/withheld_runner.js';
import type {CallCandidates} from './call_candidates.js';
import type {CallProgress} from './call_progress.js';

interface Options {
  readonly log: EventLog;
  readonly metrics: GatewayMetrics;
  readonly candidates: CallCandidates;
  readonly gate: RunnerGate;
}

/** Maximum number of withheld runners logged for one choice. */
const MAX_LOGGED_RUNNERS = 3;

/** Logs which runners were withheld from a call, and why. */
export class WithheldRunnerReporter {
  constructor(private readonly options: Options) {}

  /** Reports the runners that were withheld from the last choice. */
  report(progress: CallProgress): void {
    const {candidates, gate, metrics} = this.options;
    const {service} = progress.call;
    const withheld = gate.listWithheld(candidates.listFor(progress.call));
    if (withheld.length === 0) return;
    const [{bound}] = withheld;
    metrics.withheldChoices.inc({service, reason: bound.reason});
    for (const withheldRunner of withheld.slice(0, MAX_LOGGED_RUNNERS))
      this.logRunner(progress, withheldRunner, withheld.length);
  }

  private logRunner(
    {call, attemptCount}: CallProgress,
    {runner, bound, share, sent, waitMs}: WithheldRunner,
    withheld: number,
  ): void {
    const {perSecond, restMs, ageMs, brittlePerSecond, room} =
      bound.describeStatement(runner);
    this.options.log.write('runner_withheld', {
      request: call.id,
      attempt: attemptCount + 1,
      runner: runner.entry.id,
      reason: bound.reason,
      perSecond,
      restMs,
      brittlePerSecond,
      room,
      ageMs: ageMs === undefined ? undefined : Math.round(ageMs),
      share: share.calls,
      windowMs: share.windowMs,
      sent,
      waitMs: Number.isFinite(waitMs) ? Math.round(waitMs) : undefined,
      withheld,
    });
  }
}
