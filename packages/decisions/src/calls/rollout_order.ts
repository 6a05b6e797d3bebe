/** An operator's order to shift a service's calls to another version. */
export interface RolloutOrder {
  readonly service: string;
  readonly version: string;
  /** Time from the order within which it has to be complete, in ms. */
  readonly durationMs: number;
  /** Where the order stands in the store; tells two orders for the same version apart. */
  readonly offset: number;
}
