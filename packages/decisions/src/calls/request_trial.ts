/** A suspect request that was sent to a runner alone, while further copies of it are held back. */
export interface RequestTrial {
  /** Id of the request that was let through. */
  readonly request: string;
  /** Until when its outcome is awaited, in ms. */
  readonly until: number;
}
