/** An operator's order to shift a service's calls to another version. */
export interface RolloutOrder {
  readonly service: string;
  readonly version: string;
  /** Time after the order within which the rollout has to be completed, in ms. */
  readonly durationMs: number;
  /** Offset of the order in the store; distinguishes two orders for the same version. */
  readonly offset: number;
}
