import type {Version} from '@bayspool/decisions';
import type {CompletionEvent} from './completion_event.js';

/** An answer that has begun. */
export interface StartedCompletion {
  readonly version: Version;
  /** The sealed session, to be sent with the next turn. */
  readonly sealedSession: string;
  /** Seconds since the Unix epoch. */
  readonly createdAt: number;
  readonly events: AsyncIterable<CompletionEvent>;
}
