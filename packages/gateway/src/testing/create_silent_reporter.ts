import {VirtualClock} from '@bayspool/kernel';
import {EventLog} from '../observability/event_log.js';
import {GatewayMetrics} from '../observability/gateway_metrics.js';
import {RefusedEntryReporter} from '../records/refused_entry_reporter.js';

/** Creates a reporter of refused entries whose log output is discarded. */
export function createSilentReporter(): RefusedEntryReporter {
  const sink = {write: () => undefined};
  const log = new EventLog({clock: new VirtualClock(), host: 'host', sink});
  return new RefusedEntryReporter({log, metrics: new GatewayMetrics()});
}
