/** An answer that was received whole. */
export interface HttpResponse {
  readonly status: number;
  readonly body: Buffer;
}
