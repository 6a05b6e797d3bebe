/** What became of the calls of a stream. */
export interface StreamResult {
  arrived: number;
  /** Answered within the latency target. */
  inTime: number;
  answered: number;
  /** Calls that waited at a host. */
  waited: number;
  /** Time from arrival to rejection of each rejected call, in ms. */
  readonly rejectedAfterMs: number[];
}
