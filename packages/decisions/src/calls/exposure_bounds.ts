/** How much of a service's calls a new version may get until the time limit of its roll-out, good or not. */
export interface ExposureBounds {
  /** Part of the calls that reach the service from the order to the limit, 0 to 1. */
  readonly share: number;
  /** Calls besides. */
  readonly calls: number;
}
