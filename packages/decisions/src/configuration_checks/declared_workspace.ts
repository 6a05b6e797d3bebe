/** A workspace as a configuration file lists it. */
export interface DeclaredWorkspace {
  readonly name: string;
  /** The API keys; secrets that no finding may contain. */
  readonly keys: readonly string[];
  /** Overrides the priority of the route; 0 is the most urgent. */
  readonly priority?: number;
  /** Regions in which its data may be processed; undefined if all are allowed. */
  readonly regions?: readonly string[];
}
