/** A caller's request to a plain service, as it is forwarded. */
export interface ServiceRequest {
  readonly requestId: string;
  readonly method: string;
  /** Path and query, relative to the service's root. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string | string[]>>;
  readonly body: Buffer;
}
