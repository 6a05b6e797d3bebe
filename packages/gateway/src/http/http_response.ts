/** A completely received HTTP response. */
export interface HttpResponse {
  readonly status: number;
  readonly body: Buffer;
}
