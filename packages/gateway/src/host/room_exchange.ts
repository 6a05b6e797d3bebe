import type {RunnerEntry} from '@bayspool/decisions/calls';
import type {RunnerDirectory} from '../discovery/runner_directory.js';
import type {EventLog} from '../observability/event_log.js';
import {getIncarnationId} from '../runners/get_incarnation_id.js';
import type {RoomChange} from '../runners/room_change.js';
import type {RoomObservation} from '../runners/room_observation.js';

interface Options {
  readonly log: EventLog;
  readonly directory: RunnerDirectory;
}

/** Rejections in a second up to which other hosts are told of each: a runner that bears more is found out by each host. */
const MAX_TOLD_PER_SECOND = 16;

/** Exchanges with other hosts which runners are brittle and that they rejected requests. */
export class RoomExchange {
  private readonly listeners: Array<(observation: RoomObservation) => void> =
    [];

  constructor(private readonly options: Options) {}

  /** Calls the listener when a response to this host shows that a runner is brittle, or rejects a request. */
  onFound(listener: (observation: RoomObservation) => void): void {
    this.listeners.push(listener);
  }

  /** Records a change of the room that a runner is believed to have. */
  recordChange(entry: RunnerEntry, change: RoomChange): void {
    const {isFromPeer, previous, ...found} = change;
    const {perSecond, room, isRejection, ageMs} = found;
    this.options.log.write('runner_room_changed', {
      runner: entry.id,
      service: entry.service,
      perSecond,
      room,
      previous,
      reason: isRejection ? 'it rejected a request' : 'it states its limit',
      source: isFromPeer ? 'another host' : 'its answer',
      ageMs: Math.round(ageMs),
    });
    if (isFromPeer || perSecond > MAX_TOLD_PER_SECOND) return;
    const observation = {...found, runner: getIncarnationId(entry)};
    for (const listener of this.listeners) listener(observation);
  }

  /** Applies what another host found. */
  applyPeerObservations(observations: readonly RoomObservation[]): void {
    const byIncarnation = new Map(observations.map(one => [one.runner, one]));
    for (const {entry, brittleness} of this.options.directory.all()) {
      const observation = byIncarnation.get(getIncarnationId(entry));
      if (observation) brittleness.updateFromPeer(observation);
    }
  }
}
