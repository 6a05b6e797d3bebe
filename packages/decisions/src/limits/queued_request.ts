import type {PriorityClass} from '../configuration/priority_class.js';

/** A request in the admission queue. */
export interface QueuedRequest {
  readonly workspace: string;
  readonly weight: number;
  readonly priority: PriorityClass;
  /** Monotonic time in ms by which its response must have started. */
  readonly deadlineAt: number;
  /** Expected work, in a unit common to all requests. */
  readonly cost: number;
}
