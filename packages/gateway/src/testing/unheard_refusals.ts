import {VirtualClock} from '@bayspool/kernel';
import {EventLog} from '../observability/event_log.js';
import {GatewayMetrics} from '../observability/gateway_metrics.js';
import {RefusedEntryReporter} from '../records/refused_entry_reporter.js';

/** Refusals that no test reads. */
export function unheardRefusals(): RefusedEntryReporter {
  const sink = {write: () => undefined};
  const log = new EventLog({clock: new VirtualClock(), host: 'host', sink});
  return new RefusedEntryReporter({log, metrics: new GatewayMetrics()});
}
