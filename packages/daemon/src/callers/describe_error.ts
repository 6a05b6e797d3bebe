import {Outcome, determineOutcome, RequestFailure} from '@bayspool/decisions';
import {toProblem, type Problem, type ProblemKind} from '@bayspool/kernel';

/** The body of every error, in the OpenAI shape with two fields added. */
interface ErrorBody {
  readonly error: {
    readonly message: string;
    readonly type: string;
    readonly code: ProblemKind;
    readonly outcome: Outcome;
    readonly request_id: string;
  };
}

/** What is told of a failed request. */
interface ErrorDescription {
  readonly problem: Problem;
  readonly outcome: Outcome;
  readonly body: ErrorBody;
}

const ERROR_TYPE = 'bayspool_error';

/** Describes any failure in the shape that callers get. */
export function describeError(
  error: unknown,
  requestId: string,
): ErrorDescription {
  const outcome = determineOutcome(error);
  const problem =
    error instanceof RequestFailure ? error.problem : toProblem(error);
  const body = {
    error: {
      message: problem.message,
      type: ERROR_TYPE,
      code: problem.kind,
      outcome,
      request_id: requestId,
    },
  };
  return {problem, outcome, body};
}
