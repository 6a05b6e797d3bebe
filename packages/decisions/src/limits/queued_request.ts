import type {PriorityClass} from '../configuration/priority_class.js';

/** A request in the admission queue. */
export interface QueuedRequest {
  readonly workspace: string;
  readonly weight: number;
  readonly priority: PriorityClass;
  /** Monotonic time in ms by which its answer must have begun. */
  readonly deadlineAt: number;
  /** Its expected work, in any unit that all items share. */
  readonly cost: number;
}
