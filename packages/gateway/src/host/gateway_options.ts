import type {Clock, RandomSource} from '@bayspool/kernel';
import type {RecordReader} from '../discovery/record_reader.js';
import type {HeaderNames} from '../calls/header_names.js';
import type {GatewaySettings} from '../gateway_settings.js';
import type {EventLog} from '../observability/event_log.js';
import type {GatewayMetrics} from '../observability/gateway_metrics.js';
import type {RecordStore} from '../records/record_store.js';
import type {Dialer} from '../runners/dialer.js';

/** Dependencies and settings of a gateway. */
export interface GatewayOptions {
  /** The settings at startup. */
  readonly settings: GatewaySettings;
  /** For durations, and for ages that must never be overestimated. */
  readonly clock: Clock;
  /** For ages that must never be underestimated, such as those of the topics' mirrors. */
  readonly ageClock: Clock;
  readonly random: RandomSource;
  readonly log: EventLog;
  /** Metrics that others may have counted in before; new ones if absent. */
  readonly metrics?: GatewayMetrics;
  readonly store: RecordStore;
  readonly reader: RecordReader;
  readonly headerNames: HeaderNames;
  /** Opens the connections to runners; by TCP if absent. */
  readonly dialer?: Dialer;
}
