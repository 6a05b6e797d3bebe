import {Outcome, RequestFailure} from '@bayspool/decisions';
import {Problem, ProblemKind} from '@bayspool/kernel';

/** Creates the failures that callers receive when the home process of a key cannot respond. */
export const keyFailures = {
  createExpiredTicketProblem,
  createPlaceUnreachableFailure,
  createEarlierUseUnknownFailure,
  createHomeUnreachableFailure,
} as const;

function createExpiredTicketProblem(): Problem {
  return new Problem({
    kind: ProblemKind.BAD_REQUEST,
    what: 'the ticket has expired',
    remedy:
      'take a new ticket with POST /v1/tickets; if the old one was used, find out first whether that ran',
  });
}

function createPlaceUnreachableFailure(place: string): RequestFailure {
  const problem = new Problem({
    kind: ProblemKind.PEER_UNREACHABLE,
    what: `the key belongs to place ${place}, which is out of reach; this use was not dispatched, but an earlier one may have run`,
    remedy:
      'take a ticket with POST /v1/tickets if the key was never used before',
  });
  return new RequestFailure(problem, Outcome.UNKNOWN);
}

function createEarlierUseUnknownFailure(cause: unknown): RequestFailure {
  const problem = new Problem({
    kind: ProblemKind.LOG_UNAVAILABLE,
    what: 'the key could not be claimed in the log; this use was not dispatched, but an earlier one may have run',
    remedy:
      'ask again with the same key later, or take a ticket with POST /v1/tickets if the key was never used before',
    cause,
  });
  return new RequestFailure(problem, Outcome.UNKNOWN);
}

function createHomeUnreachableFailure(cause: unknown): RequestFailure {
  const problem = new Problem({
    kind: ProblemKind.OUTCOME_UNKNOWN,
    what: 'the host that answers this key cannot be reached',
    remedy:
      'ask again with the same key, or find out at the service whether the request ran',
    cause,
  });
  return new RequestFailure(problem, Outcome.UNKNOWN);
}
