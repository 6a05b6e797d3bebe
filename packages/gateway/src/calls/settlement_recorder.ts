import type {Clock} from '@bayspool/kernel';
import type {EventLog} from '../observability/event_log.js';
import type {GatewayMetrics} from '../observability/gateway_metrics.js';
import {MIN_SILENT_MS} from './min_silent_ms.js';
import {RunSettlement} from './run_settlement.js';
import type {UnsettledRun} from './unsettled_run.js';
import type {WatchedRunner} from './watched_runner.js';

interface Options {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: GatewayMetrics;
}

/** A run that is settled; `endedAt` is absent while it is under way. */
type SettledRun = Pick<UnsettledRun, 'request' | 'lastSignAt'> &
  Partial<UnsettledRun>;

/** Records what became known of the end of a silent runner, for each of its runs. */
export class SettlementRecorder {
  constructor(private readonly options: Options) {}

  /** Counts a settlement; it is logged if the runner had been silent when the run ended, or has ended itself. */
  record(
    {runner, end}: WatchedRunner,
    {request, lastSignAt, endedAt = lastSignAt}: SettledRun,
    outcome: RunSettlement,
  ): void {
    const {clock, log, metrics} = this.options;
    const silentMs = clock.now() - lastSignAt;
    const isEnded = outcome === RunSettlement.ENDED;
    const knownBy = isEnded ? end?.evidence : undefined;
    metrics.settledRuns.inc({outcome, knownBy: knownBy ?? ''});
    const wasLogged = endedAt - lastSignAt >= MIN_SILENT_MS;
    if (!wasLogged && !isEnded) return;
    log.write('run_settled', {
      request,
      runner: runner.id,
      outcome,
      knownBy,
      ageMs: Math.round(silentMs),
    });
  }
}
