import type {RosterEntry} from './roster_entry.js';

/** The platform's list of running and leaving hosts. It is updated with a delay, so it is only a hint. */
export interface Roster {
  list(signal?: AbortSignal): Promise<RosterEntry[]>;
}
