import type {RunnerEntry} from '@bayspool/decisions/calls';
import type {AvailabilityChange} from '../runners/availability_change.js';
import type {EventLog} from './event_log.js';

/** Logs a change of a runner's stated availability, or a statement that could not be read. */
export function logAvailabilityChange(
  log: EventLog,
  {id: runner, service}: RunnerEntry,
  {isLeaving, restMs, isFromPeer, malformed: text}: AvailabilityChange,
): void {
  if (text !== undefined)
    log.write('runner_statement_malformed', {runner, service, text});
  const source = isFromPeer ? 'another host' : 'its answer';
  if (restMs !== undefined)
    log.write('runner_rest_stated', {runner, service, restMs});
  if (isLeaving) log.write('runner_leaving_stated', {runner, service, source});
}
