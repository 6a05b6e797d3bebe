import type {PriorityClass} from '../configuration/priority_class.js';

/** A request in the admission queue; `Priority` is the type of its priority classes. */
export interface QueuedRequest<Priority = PriorityClass> {
  readonly workspace: string;
  readonly weight: number;
  readonly priority: Priority;
  /** Monotonic time in ms by which it must have left the queue. */
  readonly deadlineAt: number;
  /** Expected work, in a unit common to all requests. */
  readonly cost: number;
}
