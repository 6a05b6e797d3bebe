import type {RoomObservation} from './room_observation.js';

/** A change of the room that a brittle runner is believed to have. */
export interface RoomChange extends Omit<RoomObservation, 'runner'> {
  /** Room before the change; absent if the runner was not known to be brittle. */
  readonly previous?: number;
  /** Whether the change came from another host and not from a response of the runner to this host. */
  readonly isFromPeer: boolean;
}
