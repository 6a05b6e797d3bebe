/** The room at one incarnation of a brittle runner, as a host sends it to other hosts. */
export interface RoomObservation {
  /** The incarnation of the runner, see {@link getIncarnationId}. */
  readonly runner: string;
  /** Rejections in a second above which the runner fails. */
  readonly perSecond: number;
  /** Requests of all hosts together for which the runner is believed to have room. */
  readonly room: number;
  /** Time without a rejection after which the room is believed to have grown by one, in ms. */
  readonly growthMs: number;
  /** Whether the runner rejected a request of that host, and did not only state that it is brittle. */
  readonly isRejection: boolean;
  /** Time since the response that showed it, in ms. */
  readonly ageMs: number;
}
