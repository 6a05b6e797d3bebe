/**
 * How many of a service's calls a new version may get until the time limit of its rollout, whether
 * it is good or bad.
 */
export interface ExposureBounds {
  /** Share of the calls that reach the service between the order and the limit, 0 to 1. */
  readonly share: number;
  /** Fixed allowance of calls on top of the share. */
  readonly calls: number;
}
