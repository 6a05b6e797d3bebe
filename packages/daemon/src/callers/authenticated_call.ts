import type {Context} from '@opentelemetry/api';

/** One request of a caller, checked as far as all requests are: who, until when, and the raw content. */
export interface AuthenticatedCall {
  readonly id: string;
  readonly workspace: string;
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
  /** The caller's own bound in ms from now, if it named one. */
  readonly deadlineMs: number | undefined;
  /** The id under which the request is billed: the call's own, or the ticket's or key's. */
  readonly billId: string;
  /** Aborted when the caller is gone. */
  readonly signal: AbortSignal;
  readonly trace: Context;
}
