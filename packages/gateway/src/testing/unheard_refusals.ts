import {VirtualClock} from '@bayspool/kernel';
import {EventLog} from '../observability/event_log.js';
import {GatewayMetrics} from '../observability/gateway_metrics.js';
import {Refusals} from '../records/refusals.js';

/** Refusals that no test reads. */
export function unheardRefusals(): Refusals {
  const sink = {write: () => undefined};
  const log = new EventLog({clock: new VirtualClock(), host: 'host', sink});
  return new Refusals({log, metrics: new GatewayMetrics()});
}
