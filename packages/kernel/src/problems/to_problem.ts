import {Problem} from './problem.js';
import {ProblemKind} from './problem_kind.js';

/** Turns anything thrown into a {@link Problem}, keeping the original as its cause. */
export function toProblem(error: unknown): Problem {
  if (error instanceof Problem) return error;
  const text = error instanceof Error ? error.message : String(error);
  return new Problem({
    kind: ProblemKind.INTERNAL,
    what: `unexpected failure: ${text}`,
    remedy: 'report it with the request id and the log lines around it',
    cause: error,
  });
}
