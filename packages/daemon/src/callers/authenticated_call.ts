import type {Context} from '@opentelemetry/api';

/** A request of an authenticated caller: its workspace, its deadline and the raw content. */
export interface AuthenticatedCall {
  readonly id: string;
  readonly workspace: string;
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
  /** The deadline in ms from now, if the caller set one. */
  readonly deadlineMs: number | undefined;
  /** The id that the request is billed under: its own, or that of its ticket or key. */
  readonly billId: string;
  /** Aborted when the caller disconnects. */
  readonly signal: AbortSignal;
  readonly trace: Context;
}
