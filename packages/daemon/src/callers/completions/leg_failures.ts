import {Outcome, RequestFailure, RunnerFailure} from '@bayspool/decisions';
import {Problem, ProblemKind} from '@bayspool/kernel';
import type {CascadeLeg} from './cascade_leg.js';

function createProtocolFailure(message: string): RunnerFailure {
  return new RunnerFailure({message, mayHaveRun: true});
}

function toRunnerFailure(error: unknown): RunnerFailure {
  if (error instanceof RunnerFailure) return error;
  return new RunnerFailure({
    message: String(error),
    mayHaveRun: true,
    cause: error,
  });
}

function createCancelledFailure(leg: CascadeLeg): RequestFailure {
  const problem = new Problem({
    kind: ProblemKind.CANCELLED,
    what: 'the caller left',
    remedy: 'send the request again if the answer is still wanted',
  });
  return new RequestFailure(
    problem,
    leg.mayHaveRun ? Outcome.UNKNOWN : Outcome.NOT_RUN,
  );
}

function createVersionUnavailableProblem(leg: CascadeLeg): Problem {
  return new Problem({
    kind: ProblemKind.NO_RUNNER,
    what: `version ${leg.version.id} stopped taking work while the request waited`,
    remedy: 'send the request again',
    retryAfterMs: 1,
  });
}

function createFinalFailure(
  failure: RunnerFailure,
  leg: CascadeLeg,
): RequestFailure {
  const problem = new Problem({
    kind: ProblemKind.RUNNER_FAILED,
    what: `no runner gave a whole answer: ${failure.message}`,
    remedy:
      'send the request again later; if it keeps failing, tell the operator the request id',
    retryAfterMs: 1_000,
    cause: failure,
  });
  return new RequestFailure(
    problem,
    leg.mayHaveRun ? Outcome.UNKNOWN : Outcome.NOT_RUN,
  );
}

/** Creates the failures of a leg and the problems that its caller receives. */
export const legFailures = {
  createProtocolFailure,
  toRunnerFailure,
  createCancelledFailure,
  createVersionUnavailableProblem,
  createFinalFailure,
};
