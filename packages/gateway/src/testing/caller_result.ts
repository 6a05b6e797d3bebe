import type {IncomingHttpHeaders} from 'node:http';

/** The response to a call as its caller received it. */
export interface CallerResult {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: string;
  /** Whether the response is complete according to its framing. */
  readonly isComplete: boolean;
  /** Whether a content length or chunked encoding delimits the body, rather than the end of the connection. */
  readonly isSelfDelimited: boolean;
  readonly durationMs: number;
}
