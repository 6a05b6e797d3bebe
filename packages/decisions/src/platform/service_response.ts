/** A plain service's answer; the body is a stream or, once it is kept, a buffer. */
export interface ServiceResponse<Body> {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[]>>;
  readonly body: Body;
}
