import {Outcome, determineOutcome, RequestFailure} from '@bayspool/decisions';
import {toProblem, type Problem, type ProblemKind} from '@bayspool/kernel';

/** The body of every error response: the OpenAI format plus two fields. */
interface ErrorBody {
  readonly error: {
    readonly message: string;
    readonly type: string;
    readonly code: ProblemKind;
    readonly outcome: Outcome;
    readonly request_id: string;
  };
}

/** What a caller is told about a failed request. */
interface ErrorDescription {
  readonly problem: Problem;
  readonly outcome: Outcome;
  readonly body: ErrorBody;
}

const ERROR_TYPE = 'bayspool_error';

/** Describes any error in the format that callers receive. */
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
