/** A plain service's response; the body is a stream or, once it is stored, a buffer. */
export interface ServiceResponse<Body> {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[]>>;
  readonly body: Body;
}
