import type {QueuedRequest} from './queued_request.js';

/** A call that waits for capacity; its priority is a number, and 0 is the most urgent. */
export interface UrgencyRequest extends QueuedRequest<number> {
  /** Whether its workspace asks for more than its fair share. */
  readonly isOverShare: boolean;
  /** Whether its response can't be in time any more. */
  readonly isLate: boolean;
  /** When it has to start at the latest. */
  readonly latestStartAt: number;
}
