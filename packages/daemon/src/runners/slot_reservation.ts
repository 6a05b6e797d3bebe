import type {AttemptResult} from './attempt_result.js';
import type {Backend} from './backend.js';

/** A slot reserved on a runner; it counts against the concurrency limit until it is released. */
export interface SlotReservation<T extends Backend> {
  readonly backend: T;
  /** Whether the runner is outside the place that the request prefers. */
  readonly isInOtherPlace: boolean;
  release(result: AttemptResult): void;
}
