import {Problem, ProblemKind} from '@bayspool/kernel';

const RETRY_AFTER_MS = 10_000;

/** Creates the problem for requests that are rejected before dispatch because the log has been unavailable for so long that no more bills can be held. */
export function createBillBacklogProblem(): Problem {
  return new Problem({
    kind: ProblemKind.OVERLOADED,
    what: 'too many bills wait for the log, so nothing new is begun',
    remedy: 'come back later; the operator should look at the log service',
    retryAfterMs: RETRY_AFTER_MS,
  });
}
