import type {AttemptResult} from './attempt_result.js';
import type {Backend} from './backend.js';

/** A place at a runner, to be released once. */
export interface SlotReservation<T extends Backend> {
  readonly backend: T;
  /** Whether the runner is in another place than the request prefers. */
  readonly isInOtherPlace: boolean;
  release(result: AttemptResult): void;
}
