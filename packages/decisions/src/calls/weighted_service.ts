/** A service that receives part of a route's calls. */
export interface WeightedService {
  readonly service: string;
  /** Weight relative to the other services of the route; 0 or more. */
  readonly weight: number;
}
