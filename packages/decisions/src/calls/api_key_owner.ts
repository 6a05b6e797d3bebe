/** The workspace that owns an API key. */
export interface ApiKeyOwner {
  readonly workspace: string;
  /** Regions in which its data may be processed; undefined if all are allowed. */
  readonly regions?: readonly string[];
  /** Overrides the priority of the route; 0 is the most urgent. */
  readonly priority?: number;
}
