import {ProblemKind} from '@bayspool/kernel';

/** The HTTP status for each kind of problem in responses to callers and operators. */
export const httpStatusByProblemKind: Readonly<Record<ProblemKind, number>> = {
  [ProblemKind.SETTINGS]: 500,
  [ProblemKind.BAD_REQUEST]: 400,
  [ProblemKind.TOO_LARGE]: 413,
  [ProblemKind.UNAUTHORIZED]: 401,
  [ProblemKind.NOT_ALLOWED]: 403,
  [ProblemKind.NOT_FOUND]: 404,
  [ProblemKind.CONFLICT]: 409,
  [ProblemKind.KEY_REUSED]: 422,
  [ProblemKind.SESSION_ENDED]: 410,
  [ProblemKind.LIMITED]: 429,
  [ProblemKind.OVERLOADED]: 503,
  [ProblemKind.DEADLINE]: 503,
  [ProblemKind.DRAINING]: 503,
  [ProblemKind.NOT_READY]: 503,
  [ProblemKind.STALE]: 503,
  [ProblemKind.NO_RUNNER]: 503,
  [ProblemKind.RUNNER_FAILED]: 502,
  [ProblemKind.OUTCOME_UNKNOWN]: 502,
  [ProblemKind.LOG_UNAVAILABLE]: 503,
  [ProblemKind.PEER_UNREACHABLE]: 503,
  [ProblemKind.CANCELLED]: 499,
  [ProblemKind.INTERNAL]: 500,
};
