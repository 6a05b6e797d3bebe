import type {Problem} from '@bayspool/kernel';
import type {Outcome} from './outcome.js';

/** A problem together with what is known about whether the request ran. */
export class RequestFailure extends Error {
  constructor(
    readonly problem: Problem,
    readonly outcome: Outcome,
  ) {
    super(problem.message, {cause: problem});
    this.name = 'RequestFailure';
  }
}
