/** Something that work is sent to: a model engine or a plain service's runner. */
export interface Backend {
  readonly id: string;
  readonly place: string;
}
