/** The properties of a request that the choice of its runner depends on. */
export interface RouteRequest {
  /** The place that should run the request. */
  readonly place: string;
  /** Hashes of the prompt's prefixes, longest last; see `hashPromptPrefixes`. */
  readonly prefixes: readonly string[];
}
