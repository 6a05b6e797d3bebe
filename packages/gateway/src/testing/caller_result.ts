import type {IncomingHttpHeaders} from 'node:http';

/** The response to a call as its caller received it. */
export interface CallerResult {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: string;
  /** Whether the response is complete according to its framing. */
  readonly isComplete: boolean;
  readonly durationMs: number;
}
