/** The workspace that holds an API key. */
export interface ApiKeyOwner {
  readonly workspace: string;
  /** Regions in which its data may be; undefined if any will do. */
  readonly regions?: readonly string[];
  /** Takes the place of the route's priority when given; 0 is the most urgent. */
  readonly priority?: number;
}
