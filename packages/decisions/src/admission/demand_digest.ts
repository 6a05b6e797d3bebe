/** What one host, or several together, ask of a service; summed over hosts. */
export interface DemandDigest {
  /** Work that arrives per ms, in ms of slot time, by priority. */
  readonly byPriority: Readonly<Record<string, number>>;
  /** The same of the largest flows, by flow (see `createFlowKey`); only in a shortage. */
  readonly byWorkspace?: Readonly<Record<string, number>>;
  /** Work that was sent to runners and is not finished, in ms of slot time. */
  readonly backlogMs: number;
  /** Calls that are rejected per second because capacity is short. */
  readonly rejected: number;
}
