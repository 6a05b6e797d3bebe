import {SystemClock} from '@bayspool/kernel';
import {EventLog} from '../observability/event_log.js';

/** Creates a log whose lines go nowhere. */
export function createSilentLog(): EventLog {
  const sink = {write: () => undefined};
  return new EventLog({clock: new SystemClock(), host: 'test', sink});
}
