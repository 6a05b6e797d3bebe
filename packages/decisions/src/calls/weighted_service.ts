/** A service that takes a part of a route's calls. */
export interface WeightedService {
  readonly service: string;
  /** Relative to the other services of the route; 0 or more. */
  readonly weight: number;
}
