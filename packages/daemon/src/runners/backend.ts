/** A server that a pool sends requests to: a model engine or a runner of a plain service. */
export interface Backend {
  readonly id: string;
  readonly place: string;
}
