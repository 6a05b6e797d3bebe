import type {Version} from '@bayspool/decisions';
import type {CompletionEvent} from './completion_event.js';

/** A completion whose first event is available. */
export interface StartedCompletion {
  readonly version: Version;
  /** The sealed session, which the caller sends with its next turn. */
  readonly sealedSession: string;
  /** Seconds since the Unix epoch. */
  readonly createdAt: number;
  readonly events: AsyncIterable<CompletionEvent>;
}
