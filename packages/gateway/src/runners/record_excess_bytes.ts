import type {EventLog} from '../observability/event_log.js';
import type {GatewayMetrics} from '../observability/gateway_metrics.js';
import type {Runner} from './runner.js';

interface Options {
  readonly log: EventLog;
  readonly metrics: GatewayMetrics;
  /** Undefined if the runner is no longer known. */
  readonly runner?: Runner;
}

/** Records that bytes of a runner followed a complete response: the next one on the connection would have begun with them. */
export function recordExcessBytes({log, metrics, runner}: Options): void {
  if (!runner) return;
  const {id, service} = runner.entry;
  runner.health.recordFailure();
  metrics.excessBytes.inc({service});
  log.write('runner_excess_bytes', {runner: id, service});
}
